package org.crocuspost.httpserver;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Request that was read as a whole.
 *
 * @param channel the connection of the caller
 * @param method the method
 * @param uri the path and the query as sent
 * @param headers the headers that {@link RetainedHeaders} keeps
 * @param body the body; empty if there is none
 */
public record HttpServerRequest(Channel channel, String method, String uri, HttpHeaders headers, byte[] body) {

	/**
	 * Returns the path without the query.
	 * @return the path as sent
	 */
	public String path() {
		int query = this.uri.indexOf('?');
		return (query < 0) ? this.uri : this.uri.substring(0, query);
	}

}
