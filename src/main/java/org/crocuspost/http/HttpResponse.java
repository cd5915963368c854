package org.crocuspost.http;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * HTTP response with its whole body.
 *
 * @param status the HTTP status code
 * @param headers the headers that are forwarded
 * @param body the body
 */
public record HttpResponse(int status, List<HttpHeader> headers, ByteString body) {

	private static final int FIRST_SERVER_ERROR = 500;

	public HttpResponse {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns whether the response reports a server error.
	 * @return true if the status is 500 or higher
	 */
	public boolean isServerError() {
		return this.status >= FIRST_SERVER_ERROR;
	}

}
