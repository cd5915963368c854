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
 * Sends requests at a fixed rate, whether or not earlier ones were answered. The latency
 * of a request counts from the time at which it should have been sent, so that it
 * includes stalls of the sender.
 */
final class OpenLoopLoad {

	private static final long MAXIMUM_LATENCY_MICROSECONDS = 60_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final int STATUS_OK = 200;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final HttpRequest request;

	private final double requestsPerSecond;

	private final Histogram answered = new ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);

	private final AtomicLong refused = new AtomicLong();

	private final AtomicLong failed = new AtomicLong();

	OpenLoopLoad(URI address, String method, double requestsPerSecond) {
		this.request = HttpRequest.newBuilder(address)
			.method(method, HttpRequest.BodyPublishers.ofString(method.equals("GET") ? "" : "0123456789"))
			.build();
		this.requestsPerSecond = requestsPerSecond;
	}

	/**
	 * Sends requests for a duration and waits until each was answered or failed.
	 * @param duration the time during which requests are sent
	 * @return the result for the requests sent in this time
	 */
	LoadResult run(Duration duration) {
		this.answered.reset();
		this.refused.set(0);
		this.failed.set(0);
		Phaser pending = new Phaser(1);
		long interval = (long) (1e9 / this.requestsPerSecond);
		long start = System.nanoTime();
		long end = start + duration.toNanos();
		for (long intendedTime = start; intendedTime < end; intendedTime += interval) {
			parkUntil(intendedTime);
			send(intendedTime, pending);
		}
		pending.arriveAndAwaitAdvance();
		return new LoadResult(this.answered.copy(), this.refused.get(), this.failed.get(), duration);
	}

	private static void parkUntil(long time) {
		for (long remaining = time - System.nanoTime(); remaining > 0; remaining = time - System.nanoTime()) {
			LockSupport.parkNanos(remaining);
		}
	}

	private void send(long intendedTime, Phaser pending) {
		pending.register();
		this.client.sendAsync(this.request, HttpResponse.BodyHandlers.discarding())
			.whenComplete((response, exception) -> {
				recordResponse(intendedTime, response, exception);
				pending.arriveAndDeregister();
			});
	}

	private void recordResponse(long intendedTime, HttpResponse<Void> response, Throwable exception) {
		if (exception != null) {
			this.failed.incrementAndGet();
		}
		else if (response.statusCode() == STATUS_OK) {
			long microseconds = (System.nanoTime() - intendedTime) / 1000;
			this.answered.recordValue(Math.min(MAXIMUM_LATENCY_MICROSECONDS, microseconds));
		}
		else if (response.headers().firstValue("Crocuspost-Verdict").orElse("").equals("not-run")) {
			this.refused.incrementAndGet();
		}
		else {
			this.failed.incrementAndGet();
		}
	}

}
