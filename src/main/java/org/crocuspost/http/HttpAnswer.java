package org.crocuspost.http;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * A whole answer.
 *
 * @param status the status code
 * @param headers the headers that are passed on
 * @param body the body
 */
public record HttpAnswer(int status, List<HttpHeader> headers, ByteString body) {

	private static final int FIRST_SERVER_ERROR = 500;

	public HttpAnswer {
		headers = List.copyOf(headers);
	}

	/**
	 * Says whether the answer reports a fault of the server.
	 * @return true from status 500 on
	 */
	public boolean serverError() {
		return this.status >= FIRST_SERVER_ERROR;
	}

}
