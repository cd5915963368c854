package org.crocuspost.httpserver;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Response to a request.
 *
 * @param status the status code
 * @param contentType the type of the body
 * @param headers further headers
 * @param body the body
 */
public record HttpServerResponse(int status, String contentType, Map<String, String> headers, byte[] body) {

	/**
	 * Creates a response with a JSON body.
	 * @param status the status code
	 * @param body the body
	 * @return the response
	 */
	public static HttpServerResponse json(int status, String body) {
		return json(status, body, Map.of());
	}

	/**
	 * Creates a response with a JSON body and further headers.
	 * @param status the status code
	 * @param body the body
	 * @param headers the headers
	 * @return the response
	 */
	public static HttpServerResponse json(int status, String body, Map<String, String> headers) {
		return new HttpServerResponse(status, "application/json", headers, body.getBytes(StandardCharsets.UTF_8));
	}

}
