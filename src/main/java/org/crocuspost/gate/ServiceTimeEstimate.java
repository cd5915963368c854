package org.crocuspost.gate;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long the endpoint takes for one request: an exponentially weighted
 * average of finished requests, raised to the mean age of those that still run, so that
 * an endpoint which stops to answer looks slow before its first answer. Not safe for use
 * by several threads.
 */
final class ServiceTimeEstimate {

	private static final double WEIGHT_OF_NEWEST = 0.1;

	private final Map<Long, Long> running = new HashMap<>();

	private long nextToken;

	private double averageNanos;

	long started(long now) {
		long token = this.nextToken++;
		this.running.put(token, now);
		return token;
	}

	void finished(long token, long now) {
		Long start = this.running.remove(token);
		if (start == null) {
			return;
		}
		double sample = now - start;
		if (this.averageNanos == 0) {
			this.averageNanos = sample;
		}
		else {
			this.averageNanos += WEIGHT_OF_NEWEST * (sample - this.averageNanos);
		}
	}

	long nanos(long now) {
		double ages = 0;
		for (long start : this.running.values()) {
			ages += now - start;
		}
		double meanAge = this.running.isEmpty() ? 0 : ages / this.running.size();
		return (long) Math.max(this.averageNanos, meanAge);
	}

}
