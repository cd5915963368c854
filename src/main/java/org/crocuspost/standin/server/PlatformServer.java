package org.crocuspost.standin.server;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/**
 * HTTP server for the stand-ins of one platform and for their fault settings.
 */
public final class PlatformServer implements AutoCloseable {

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final int THREADS = 2;

	private final RatpackServer server;

	private PlatformServer(RatpackServer server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param address the address to listen on; port 0 for any free port
	 * @param table the table service
	 * @param objects the object store
	 * @param workers the workers
	 * @return the running server
	 * @throws IllegalStateException if the server cannot start
	 */
	public static PlatformServer start(InetSocketAddress address, TableStandIn table, ObjectStandIn objects,
			List<NamedWorker> workers) {
		try {
			return new PlatformServer(RatpackServer.start(
					(definition) -> definition
						.serverConfig((config) -> config.address(address.getAddress())
							.port(address.getPort())
							.threads(THREADS)
							.maxContentLength(MAX_BODY_BYTES)
							.registerShutdownHook(false))
						.handlers((chain) -> route(chain, table, objects, workers))));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the platform server cannot listen on " + address, ex);
		}
	}

	private static void route(Chain chain, TableStandIn table, ObjectStandIn objects, List<NamedWorker> workers)
			throws Exception {
		chain.prefix("table", new TableHandlers(table)).path("object", new ObjectHandlers(objects));
		for (NamedWorker worker : workers) {
			chain.prefix("workers/" + worker.name(), new WorkerHandlers(worker.runtime()));
		}
		chain.prefix("stand-in/table", new FaultHandlers(table.faults(), table::applyHeld, table::counts));
		chain.prefix("stand-in/objects", new FaultHandlers(objects.faults(), objects::applyHeld, objects::counts));
	}

	/**
	 * Returns the address of the server.
	 * @return the address, with the port on which it listens
	 */
	public PlatformUrl url() {
		InetAddress host = InetAddress.getLoopbackAddress();
		String bound = this.server.getBindHost();
		String name = (bound != null && !bound.equals("0.0.0.0")) ? bound : host.getHostAddress();
		return PlatformUrl.of("http://" + name + ":" + this.server.getBindPort());
	}

	@Override
	public void close() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("the platform server cannot stop", ex);
		}
	}

}
