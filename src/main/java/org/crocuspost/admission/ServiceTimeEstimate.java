package org.crocuspost.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the service time of the endpoint: the larger of the exponentially weighted
 * average over finished requests and the mean age of the requests in progress. The mean
 * age makes the estimate grow when an endpoint stops answering, before any of its
 * requests finishes. This class is not thread-safe.
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
		double ageSum = 0;
		for (long start : this.running.values()) {
			ageSum += now - start;
		}
		double meanAge = this.running.isEmpty() ? 0 : ageSum / this.running.size();
		return (long) Math.max(this.averageNanos, meanAge);
	}

}
