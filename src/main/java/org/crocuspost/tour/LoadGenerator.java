package org.crocuspost.tour;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.crocuspost.daemon.ProcessContext;
import org.crocuspost.http.HeaderNames;
import org.crocuspost.time.Cancellable;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Open-loop load generator: sends requests at a fixed rate, whether or not earlier ones
 * were answered. Every second request is a POST, which must run at most once; the others
 * are GETs.
 *
 * <p>
 * Latency is measured from the time at which a request should have been sent. Measuring
 * from the actual send time would hide the delay of requests that had to wait because
 * earlier responses were slow.
 */
final class LoadGenerator {

	private static final Duration TIMER_INTERVAL = Duration.ofMillis(10);

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

	private static final int CONNECTIONS = 64;

	private static final int THREADS = 2;

	private static final String VERDICT_HEADER = HeaderNames.VERDICT;

	private static final String KEY_HEADER = HeaderNames.IDEMPOTENCY_KEY;

	private final ProcessContext context;

	private final List<InetSocketAddress> entries;

	private final String path;

	private final ExecController controller = new DefaultExecController(THREADS);

	private final HttpClient client;

	private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();

	private final AtomicLong sentCount = new AtomicLong();

	private final AtomicInteger openRequests = new AtomicInteger();

	private final long intervalNanos;

	private long startNanos;

	private Cancellable sendTimer = () -> {
	};

	/**
	 * Creates a load generator.
	 * @param entries the addresses at which the entries accept requests; used in turn
	 * @param path the common path prefix of all requests, which ends with a slash
	 * @param requestsPerSecond the total request rate
	 * @param context provides the clock and the timer
	 */
	LoadGenerator(List<InetSocketAddress> entries, String path, int requestsPerSecond, ProcessContext context) {
		this.entries = List.copyOf(entries);
		this.path = path;
		this.context = context;
		this.intervalNanos = Duration.ofSeconds(1).toNanos() / requestsPerSecond;
		try {
			this.client = HttpClient
				.of((spec) -> spec.execController(this.controller).poolSize(CONNECTIONS).readTimeout(READ_TIMEOUT));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the HTTP client of the load generator cannot be created", ex);
		}
	}

	/**
	 * Starts sending.
	 */
	void start() {
		this.startNanos = this.context.clock().nanoTime();
		this.sendTimer = this.context.timer().repeat(TIMER_INTERVAL, this::sendDueRequests);
	}

	/**
	 * Stops sending. Responses to requests that were already sent are still received.
	 */
	void stopSending() {
		this.sendTimer.cancel();
	}

	/**
	 * Returns the number of requests that were sent and have not ended.
	 * @return the number of open requests
	 */
	int openRequests() {
		return this.openRequests.get();
	}

	/**
	 * Returns the results of all requests so far.
	 * @return a record for each request that has ended
	 */
	Collection<CallRecord> records() {
		return List.copyOf(this.records);
	}

	/**
	 * Stops sending and closes all connections.
	 */
	void close() {
		stopSending();
		this.client.close();
		this.controller.close();
	}

	private void sendDueRequests() {
		long elapsed = this.context.clock().nanoTime() - this.startNanos;
		while (this.sentCount.get() * this.intervalNanos <= elapsed) {
			send(this.sentCount.getAndIncrement());
		}
	}

	private void send(long number) {
		boolean idempotent = number % 2 == 1;
		String marker = (idempotent ? "balance-" : "top-up-") + number;
		long intendedNanos = this.startNanos + number * this.intervalNanos;
		InetSocketAddress entry = this.entries.get((int) (number / 2 % this.entries.size()));
		URI uri = URI
			.create("http://" + entry.getAddress().getHostAddress() + ":" + entry.getPort() + this.path + marker);
		this.openRequests.incrementAndGet();
		this.controller.fork()
			.onError(
					(error) -> recordEnd(new CallRecord(marker, idempotent, 0, "", false, elapsedSince(intendedNanos))))
			.start((execution) -> this.client.request(uri, (spec) -> prepareRequest(spec, marker, idempotent))
				.then((response) -> recordEnd(toCallRecord(response, marker, idempotent, intendedNanos))));
	}

	private static void prepareRequest(RequestSpec spec, String marker, boolean idempotent) throws Exception {
		if (idempotent) {
			spec.get();
			return;
		}
		spec.post().headers((headers) -> headers.set(KEY_HEADER, marker));
		spec.body((body) -> body.text(marker));
	}

	private CallRecord toCallRecord(ReceivedResponse response, String marker, boolean idempotent, long intendedNanos) {
		String verdict = response.getHeaders().get(VERDICT_HEADER);
		boolean answerMatches = idempotent || response.getBody().getText().equals(marker);
		return new CallRecord(marker, idempotent, response.getStatusCode(), (verdict != null) ? verdict : "",
				answerMatches, elapsedSince(intendedNanos));
	}

	private void recordEnd(CallRecord callRecord) {
		this.records.add(callRecord);
		this.openRequests.decrementAndGet();
	}

	private Duration elapsedSince(long nanos) {
		return Duration.ofNanos(this.context.clock().nanoTime() - nanos);
	}

}
