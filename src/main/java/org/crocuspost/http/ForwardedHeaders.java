package org.crocuspost.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the headers that are passed on from one connection to the next.
 */
public final class ForwardedHeaders {

	private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "expect", "crocuspost-request", "crocuspost-verdict", "crocuspost-deadline-milliseconds");

	private ForwardedHeaders() {
	}

	/**
	 * Drops headers that concern one connection only, and those that crocuspost sets.
	 * @param headers all headers of a message
	 * @return the headers that are passed on
	 */
	public static List<HttpHeader> select(Iterable<Map.Entry<String, String>> headers) {
		List<HttpHeader> selected = new ArrayList<>();
		for (Map.Entry<String, String> header : headers) {
			if (!NOT_PASSED_ON.contains(header.getKey().toLowerCase(Locale.ROOT))) {
				selected.add(new HttpHeader(header.getKey(), header.getValue()));
			}
		}
		return selected;
	}

}
