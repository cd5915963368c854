package org.crocuspost.httpserver;

import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Headers of a request that keep only those that a server evaluates. A head of legal size
 * made of very many short lines would otherwise take fifty times its size.
 */
final class RetainedHeaders extends DefaultHttpHeaders {

	/**
	 * Lines of retained headers in one request. There are nine such headers, and each
	 * occurs once in a valid request.
	 */
	private static final int MAXIMUM_LINES = 32;

	private static final Set<String> NAMES = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

	static {
		NAMES.addAll(Set.of("Host", "Content-Length", "Transfer-Encoding", "Connection", "Expect", "Content-Type",
				"Accept", "Accept-Encoding", "X-Crocuspost-Time-Remaining"));
	}

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		if (NAMES.contains(name.toString())) {
			if (size() >= MAXIMUM_LINES) {
				throw new TooLongHttpHeaderException("more than " + MAXIMUM_LINES + " lines of evaluated headers");
			}
			return super.add(name, value);
		}
		if (HttpHeaderValidationUtil.validateToken(name) != -1) {
			throw new IllegalArgumentException("a header name contains a prohibited character");
		}
		return this;
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		return add((CharSequence) name, value);
	}

}
