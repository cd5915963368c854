package org.crocuspost.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the headers that are forwarded from one connection to the next.
 */
public final class ForwardedHeaders {

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "expect", "crocuspost-request", "crocuspost-verdict", "crocuspost-deadline-milliseconds");

	private ForwardedHeaders() {
	}

	/**
	 * Returns the headers of a message without those that concern one connection only
	 * (hop-by-hop) and those that crocuspost sets.
	 * @param headers all headers of a message
	 * @return the headers to forward
	 */
	public static List<HttpHeader> select(Iterable<Map.Entry<String, String>> headers) {
		List<HttpHeader> selected = new ArrayList<>();
		for (Map.Entry<String, String> header : headers) {
			if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT))) {
				selected.add(new HttpHeader(header.getKey(), header.getValue()));
			}
		}
		return selected;
	}

}
