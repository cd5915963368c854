package org.crocuspost.metrics;

import java.net.InetSocketAddress;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import ratpack.server.RatpackServer;

/**
 * HTTP server that exposes the metrics and the health of a process.
 */
public final class MonitoringServer implements AutoCloseable {

	private static final int THREADS = 1;

	private final RatpackServer server;

	private final InetSocketAddress address;

	private MonitoringServer(RatpackServer server, InetSocketAddress address) {
		this.server = server;
		this.address = address;
	}

	/**
	 * Starts a server with one thread.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param registry the metrics registry of the process
	 * @param health the health of the process
	 * @return the running server
	 * @throws IllegalStateException if the server cannot start
	 */
	public static MonitoringServer start(InetSocketAddress address, PrometheusRegistry registry, Health health) {
		try {
			RatpackServer server = RatpackServer.start(
					(definition) -> definition
						.serverConfig((config) -> config.address(address.getAddress())
							.port(address.getPort())
							.threads(THREADS)
							.registerShutdownHook(false))
						.handlers(new MonitoringHandlers(registry, health)));
			return new MonitoringServer(server, new InetSocketAddress(address.getAddress(), server.getBindPort()));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the monitoring server cannot listen on " + address, ex);
		}
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address with the bound port
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	@Override
	public void close() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("the monitoring server failed to stop", ex);
		}
	}

}
