package org.crocuspost.http;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * HTTP request with its whole body.
 *
 * @param method the HTTP method
 * @param target the path with the query
 * @param headers the headers that are forwarded
 * @param body the body
 */
public record HttpRequest(String method, String target, List<HttpHeader> headers, ByteString body) {

	public HttpRequest {
		headers = List.copyOf(headers);
	}

}
