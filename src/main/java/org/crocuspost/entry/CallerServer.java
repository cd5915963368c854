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
 * Serves the HTTP requests of callers.
 */
public final class CallerServer {

	/**
	 * Time without a request after which a draining server counts as drained.
	 */
	private static final Duration QUIET_PERIOD = Duration.ofMillis(500);

	private final RatpackServer server;

	private final InetSocketAddress address;

	private final InFlightRequests inFlight;

	private CallerServer(RatpackServer server, InetSocketAddress address, InFlightRequests inFlight) {
		this.server = server;
		this.address = address;
		this.inFlight = inFlight;
	}

	/**
	 * Starts a server, which binds the port and serves requests from then on.
	 * @param settings the settings
	 * @param incarnation the incarnation of this process, as in its peer identity
	 * @param configurations the source of the configured services
	 * @param runner runs the requests
	 * @param listener receives each request that was answered
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 * @return the server
	 * @throws IllegalStateException if the server cannot start
	 */
	public static CallerServer start(CallerSettings settings, String incarnation, ConfigurationSource configurations,
			RequestRunner runner, RequestListener listener, Clock clock, Timer timer) {
		InFlightRequests inFlight = new InFlightRequests(timer, QUIET_PERIOD);
		CallerHandler handler = new CallerHandler(settings, configurations, runner, new RequestIdGenerator(incarnation),
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
				.registryOf((registry) -> registry.add(ServerErrorHandler.class, new RequestErrorHandler()))
				.handlers((chain) -> chain.all(handler)));
			InetSocketAddress bound = new InetSocketAddress(settings.address().getAddress(), server.getBindPort());
			return new CallerServer(server, bound, inFlight);
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot start the HTTP server for callers", ex);
		}
	}

	/**
	 * Returns the bound address.
	 * @return the address with the port
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Returns the number of requests without a response yet.
	 * @return the number of requests
	 */
	public int requestsInFlight() {
		return this.inFlight.count();
	}

	/**
	 * Starts to drain the server: responses ask callers to close their connections.
	 * Requests are still served, so that none is interrupted while the load balancer
	 * removes this process.
	 * @return a stage that completes when there has been no request for the quiet period
	 */
	public CompletionStage<Void> drain() {
		return this.inFlight.drain();
	}

	/**
	 * Stops the server without waiting for requests in flight.
	 * @throws IllegalStateException if the server cannot stop
	 */
	public void close() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot stop the HTTP server for callers", ex);
		}
	}

}
