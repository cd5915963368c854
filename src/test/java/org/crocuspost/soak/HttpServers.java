package org.crocuspost.soak;

import java.net.InetSocketAddress;
import java.util.List;

import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

/**
 * Starts and stops the HTTP servers of the stand-ins.
 */
final class HttpServers {

	private HttpServers() {
	}

	static RatpackServer start(InetSocketAddress address, Handler handler) {
		try {
			return RatpackServer.start(
					(spec) -> spec
						.serverConfig((config) -> config.address(address.getAddress())
							.port(address.getPort())
							.threads(1)
							.registerShutdownHook(false)
							.development(false))
						.handlers((chain) -> chain.all(handler)));
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot start an HTTP server on " + address, ex);
		}
	}

	static void stop(List<RatpackServer> servers) {
		for (RatpackServer server : servers) {
			try {
				server.stop();
			}
			catch (Exception ex) {
				throw new IllegalStateException("cannot stop an HTTP server", ex);
			}
		}
	}

}
