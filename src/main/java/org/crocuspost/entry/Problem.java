package org.crocuspost.entry;

import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;

/**
 * Body of an error response in the format {@code application/problem+json}.
 *
 * @param type the URN that identifies the kind of error
 * @param title the code of the error
 * @param status the HTTP status code
 * @param detail what happened, in plain English
 * @param code the code from the catalogue of errors
 * @param verdict whether the request may have run
 * @param request the ID of the request
 */
record Problem(String type, String title, int status, String detail, String code, String verdict, String request) {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:crocuspost:error:";

	static Problem of(Failure failure, String requestId) {
		String code = failure.code().code();
		return new Problem(TYPE_PREFIX + code, code, failure.code().status(), failure.message(), code,
				failure.verdict().label(), requestId);
	}

	String toJson() {
		return Json.write(this);
	}

}
