package org.crocuspost.operations;

import java.net.InetSocketAddress;
import java.util.Set;

import org.crocuspost.time.Clock;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/**
 * Serves the operators' HTTP interface.
 */
public final class OperationsServer implements AutoCloseable {

	private static final int THREADS = 1;

	private final RatpackServer server;

	private final InetSocketAddress address;

	private OperationsServer(RatpackServer server, InetSocketAddress address) {
		this.server = server;
		this.address = address;
	}

	/**
	 * Binds the port and starts to serve requests.
	 * @param settings the settings
	 * @param entry the name of this entry
	 * @param failureDomains all failure domains
	 * @param notes the operations on release notes
	 * @param views the sources of the views
	 * @param clock the clock of the process
	 * @return the server
	 */
	public static OperationsServer start(OperationsSettings settings, String entry, Set<String> failureDomains,
			NoteOperations notes, OperationsViews views, Clock clock) {
		NoteHandlers noteHandlers = new NoteHandlers(notes, settings.maximumNoteBytes());
		ViewHandlers viewHandlers = new ViewHandlers(entry, failureDomains, notes, views);
		AccessHandler access = new AccessHandler(settings.token(),
				new TokenBucket(clock, settings.requestsPerSecond(), 2 * settings.requestsPerSecond()),
				settings.requestsPerSecond());
		try {
			RatpackServer server = RatpackServer.start(
					(spec) -> spec
						.serverConfig((config) -> config.address(settings.address().getAddress())
							.port(settings.address().getPort())
							.threads(THREADS)
							.maxContentLength(settings.maximumNoteBytes())
							.registerShutdownHook(false)
							.development(false))
						.handlers((chain) -> route(chain, access, noteHandlers, viewHandlers)));
			return new OperationsServer(server,
					new InetSocketAddress(settings.address().getAddress(), server.getBindPort()));
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot start the HTTP server for operators", ex);
		}
	}

	private static void route(Chain chain, AccessHandler access, NoteHandlers notes, ViewHandlers views)
			throws Exception {
		chain.all(access).prefix("notes", notes).insert(views).all(Responses::notFound);
	}

	/**
	 * Returns the address to which the server is bound.
	 * @return the address with the port
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
			throw new IllegalStateException("cannot stop the HTTP server for operators", ex);
		}
	}

}
