package org.crocuspost.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.retry.RequestRunner;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import ratpack.error.ServerErrorHandler;
import ratpack.server.RatpackServer;

/**
 * HTTP server for callers.
 */
public final class CallerServer {

	/**
	 * A server that is being stopped waits until it has had no request for so long.
	 */
	private static final Duration QUIET_TIME = Duration.ofMillis(500);

	private final RatpackServer server;

	private final InetSocketAddress address;

	private final InFlightRequests inFlight;

	private CallerServer(RatpackServer server, InetSocketAddress address, InFlightRequests inFlight) {
		this.server = server;
		this.address = address;
		this.inFlight = inFlight;
	}

	/**
	 * Binds the port and serves from then on.
	 * @param settings the settings
	 * @param incarnation the incarnation of this process, as in its peer identity
	 * @param configurations tells which services there are
	 * @param runner runs the requests
	 * @param listener is told of each request that was answered
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 * @return the server
	 */
	public static CallerServer start(CallerSettings settings, String incarnation, ConfigurationSource configurations,
			RequestRunner runner, RequestListener listener, Clock clock, Timer timer) {
		InFlightRequests inFlight = new InFlightRequests(timer, QUIET_TIME);
		CallerHandler handler = new CallerHandler(settings, configurations, runner, new RequestIds(incarnation),
				inFlight, listener, clock);
		try {
			RatpackServer server = RatpackServer.start((spec) -> spec
				.serverConfig((config) -> config.address(settings.address().getAddress())
					.port(settings.address().getPort())
					.threads(settings.threads())
					.maxContentLength(settings.maximumBodyBytes())
					.idleTimeout(settings.idleTimeout())
					.registerShutdownHook(false)
					.development(false))
				.registryOf((registry) -> registry.add(ServerErrorHandler.class, new FaultHandler()))
				.handlers((chain) -> chain.all(handler)));
			InetSocketAddress bound = new InetSocketAddress(settings.address().getAddress(), server.getBindPort());
			return new CallerServer(server, bound, inFlight);
		}
		catch (Exception ex) {
			throw new IllegalStateException("the server for callers cannot start", ex);
		}
	}

	/**
	 * Returns the address that is bound.
	 * @return the address with the port
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Returns the number of requests that have no answer yet.
	 * @return the number
	 */
	public int requestsInFlight() {
		return this.inFlight.count();
	}

	/**
	 * Asks callers to close their connections. Requests are still served, so that none is
	 * cut while the balancer takes this process out.
	 * @return done when there has been no request for some time
	 */
	public CompletionStage<Void> drain() {
		return this.inFlight.drain();
	}

	/**
	 * Stops at once.
	 */
	public void close() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("the server for callers cannot stop", ex);
		}
	}

}
