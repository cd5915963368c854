package org.crocuspost.platform.hosted;

import java.net.InetSocketAddress;

import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

/**
 * Starts HTTP servers on the addresses that the platform assigns.
 */
final class HttpServers {

	private static final int THREADS = 1;

	private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

	private HttpServers() {
	}

	static RatpackServer start(InetSocketAddress address, Handler handler) {
		try {
			return RatpackServer.start(
					(spec) -> spec
						.serverConfig((config) -> config.address(address.getAddress())
							.port(address.getPort())
							.threads(THREADS)
							.maxContentLength(MAXIMUM_BODY_BYTES)
							.registerShutdownHook(false)
							.development(false))
						.handlers((chain) -> chain.all(handler)));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the server cannot listen on " + address, ex);
		}
	}

}
