package org.crocuspost.bench.request;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered. Latency
 * counts from the time at which a request should have been sent, so that a stall of the
 * sender counts too.
 */
final class OpenLoopLoad {

	private static final long HIGHEST_MICROSECONDS = 60_000_000;

	private static final int DIGITS = 3;

	private static final int OK = 200;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final HttpRequest request;

	private final double requestsPerSecond;

	private final Histogram answered = new ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS);

	private final AtomicLong refused = new AtomicLong();

	private final AtomicLong failed = new AtomicLong();

	OpenLoopLoad(URI address, String method, double requestsPerSecond) {
		this.request = HttpRequest.newBuilder(address)
			.method(method, HttpRequest.BodyPublishers.ofString(method.equals("GET") ? "" : "0123456789"))
			.build();
		this.requestsPerSecond = requestsPerSecond;
	}

	/**
	 * Sends requests for some time and waits for their answers.
	 * @param duration how long to send
	 * @return what was measured in this time
	 */
	LoadResult run(Duration duration) {
		this.answered.reset();
		this.refused.set(0);
		this.failed.set(0);
		Phaser pending = new Phaser(1);
		long interval = (long) (1e9 / this.requestsPerSecond);
		long start = System.nanoTime();
		long end = start + duration.toNanos();
		for (long intended = start; intended < end; intended += interval) {
			parkUntil(intended);
			send(intended, pending);
		}
		pending.arriveAndAwaitAdvance();
		return new LoadResult(this.answered.copy(), this.refused.get(), this.failed.get(), duration);
	}

	private static void parkUntil(long time) {
		for (long left = time - System.nanoTime(); left > 0; left = time - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
	}

	private void send(long intended, Phaser pending) {
		pending.register();
		this.client.sendAsync(this.request, HttpResponse.BodyHandlers.discarding())
			.whenComplete((response, exception) -> {
				count(intended, response, exception);
				pending.arriveAndDeregister();
			});
	}

	private void count(long intended, HttpResponse<Void> response, Throwable exception) {
		if (exception != null) {
			this.failed.incrementAndGet();
		}
		else if (response.statusCode() == OK) {
			long microseconds = (System.nanoTime() - intended) / 1000;
			this.answered.recordValue(Math.min(HIGHEST_MICROSECONDS, microseconds));
		}
		else if (response.headers().firstValue("Crocuspost-Verdict").orElse("").equals("not-run")) {
			this.refused.incrementAndGet();
		}
		else {
			this.failed.incrementAndGet();
		}
	}

}
