package org.crocuspost.httpserver;

import java.util.function.Consumer;

import io.netty.channel.Channel;

/**
 * Handles the requests of a server. Called on the event loop of the server.
 */
@FunctionalInterface
public interface HttpServerHandler {

	/**
	 * Called when the head of a request was read.
	 * @param channel the connection of the caller
	 * @return an action to run when the response was sent or has failed
	 */
	default Runnable requestStarted(Channel channel) {
		return () -> {
		};
	}

	/**
	 * Handles a request.
	 * @param request the request
	 * @param responder takes the response, on any thread; only its first call counts
	 */
	void handle(HttpServerRequest request, Consumer<HttpServerResponse> responder);

}
