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
 * Callers that send requests at a fixed rate, whether or not earlier ones were answered.
 * Every second request is a POST, which must run at most once; the others are GETs.
 *
 * <p>
 * Latency counts from when a request should have been sent. Counting from when it was
 * sent would hide the wait of requests that a slow answer held back.
 */
final class CallerLoad {

	private static final Duration TICK = Duration.ofMillis(10);

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

	private final AtomicLong sent = new AtomicLong();

	private final AtomicInteger open = new AtomicInteger();

	private final long intervalNanos;

	private long startNanos;

	private Cancellable ticking = () -> {
	};

	/**
	 * Creates the callers.
	 * @param entries where the entries listen; callers take them in turn
	 * @param path the path that all requests share, which ends at a slash
	 * @param requestsPerSecond the rate of all callers together
	 * @param context gives the clock and the timer
	 */
	CallerLoad(List<InetSocketAddress> entries, String path, int requestsPerSecond, ProcessContext context) {
		this.entries = List.copyOf(entries);
		this.path = path;
		this.context = context;
		this.intervalNanos = Duration.ofSeconds(1).toNanos() / requestsPerSecond;
		try {
			this.client = HttpClient
				.of((spec) -> spec.execController(this.controller).poolSize(CONNECTIONS).readTimeout(READ_TIMEOUT));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the callers cannot start", ex);
		}
	}

	/**
	 * Starts to send.
	 */
	void start() {
		this.startNanos = this.context.clock().nanoTime();
		this.ticking = this.context.timer().repeat(TICK, this::sendDue);
	}

	/**
	 * Stops sending. Requests that were sent still get their answers.
	 */
	void stopSending() {
		this.ticking.cancel();
	}

	/**
	 * Returns the number of requests without an answer.
	 * @return the number
	 */
	int open() {
		return this.open.get();
	}

	/**
	 * Returns what the callers saw so far.
	 * @return a record for each request that has ended
	 */
	Collection<CallRecord> records() {
		return List.copyOf(this.records);
	}

	/**
	 * Closes all connections.
	 */
	void close() {
		stopSending();
		this.client.close();
		this.controller.close();
	}

	private void sendDue() {
		long elapsed = this.context.clock().nanoTime() - this.startNanos;
		while (this.sent.get() * this.intervalNanos <= elapsed) {
			send(this.sent.getAndIncrement());
		}
	}

	private void send(long number) {
		boolean idempotent = number % 2 == 1;
		String marker = (idempotent ? "balance-" : "top-up-") + number;
		long intended = this.startNanos + number * this.intervalNanos;
		InetSocketAddress entry = this.entries.get((int) (number / 2 % this.entries.size()));
		URI uri = URI
			.create("http://" + entry.getAddress().getHostAddress() + ":" + entry.getPort() + this.path + marker);
		this.open.incrementAndGet();
		this.controller.fork()
			.onError((error) -> end(new CallRecord(marker, idempotent, 0, "", false, since(intended))))
			.start((execution) -> this.client.request(uri, (spec) -> prepare(spec, marker, idempotent))
				.then((response) -> end(read(response, marker, idempotent, intended))));
	}

	private static void prepare(RequestSpec spec, String marker, boolean idempotent) throws Exception {
		if (idempotent) {
			spec.get();
			return;
		}
		spec.post().headers((headers) -> headers.set(KEY_HEADER, marker));
		spec.body((body) -> body.text(marker));
	}

	private CallRecord read(ReceivedResponse response, String marker, boolean idempotent, long intended) {
		String verdict = response.getHeaders().get(VERDICT_HEADER);
		boolean own = idempotent || response.getBody().getText().equals(marker);
		return new CallRecord(marker, idempotent, response.getStatusCode(), (verdict != null) ? verdict : "", own,
				since(intended));
	}

	private void end(CallRecord callRecord) {
		this.records.add(callRecord);
		this.open.decrementAndGet();
	}

	private Duration since(long nanos) {
		return Duration.ofNanos(this.context.clock().nanoTime() - nanos);
	}

}
