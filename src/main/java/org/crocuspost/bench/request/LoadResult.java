package org.crocuspost.bench.request;

import java.time.Duration;

import org.HdrHistogram.Histogram;

/**
 * What a load measured.
 *
 * @param latency latencies of the requests that were answered, in microseconds
 * @param refused requests that were refused as not run
 * @param failed requests that failed in another way
 * @param duration how long requests were sent
 */
record LoadResult(Histogram latency, long refused, long failed, Duration duration) {

	private static final double MICROSECONDS_PER_MILLISECOND = 1000;

	private static final double MILLISECONDS_PER_SECOND = 1000;

	double milliseconds(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
	}

	double answeredPerSecond() {
		return this.latency.getTotalCount() / (this.duration.toMillis() / MILLISECONDS_PER_SECOND);
	}

	/**
	 * Returns the rate of answers within a deadline.
	 * @param deadline the deadline
	 * @return answers in a second
	 */
	double goodPerSecond(Duration deadline) {
		long good = this.latency.getCountBetweenValues(0, deadline.toNanos() / 1000);
		return good / (this.duration.toMillis() / MILLISECONDS_PER_SECOND);
	}

	String row(String name) {
		return String.format("| %s | %d | %d | %d | %.1f | %.1f | %.1f |", name, this.latency.getTotalCount(),
				this.refused, this.failed, milliseconds(50), milliseconds(99), milliseconds(99.9));
	}

}
