package org.crocuspost.bench.request;

import java.time.Duration;

import org.HdrHistogram.Histogram;

/**
 * Holds the responses and latencies of one load run.
 *
 * @param latency the latencies of the requests answered with status 200, in microseconds
 * @param refused the number of requests that were refused with the verdict not run
 * @param failed the number of requests that failed in any other way
 * @param duration the time during which requests were sent
 */
record LoadResult(Histogram latency, long refused, long failed, Duration duration) {

	private static final double MICROSECONDS_PER_MILLISECOND = 1000;

	private static final double MILLISECONDS_PER_SECOND = 1000;

	double latencyMilliseconds(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
	}

	double answeredPerSecond() {
		return this.latency.getTotalCount() / (this.duration.toMillis() / MILLISECONDS_PER_SECOND);
	}

	/**
	 * Returns the rate of requests that were answered within a deadline.
	 * @param deadline the deadline
	 * @return answers per second
	 */
	double goodputPerSecond(Duration deadline) {
		long withinDeadline = this.latency.getCountBetweenValues(0, deadline.toNanos() / 1000);
		return withinDeadline / (this.duration.toMillis() / MILLISECONDS_PER_SECOND);
	}

	String markdownRow(String name) {
		return String.format("| %s | %d | %d | %d | %.1f | %.1f | %.1f |", name, this.latency.getTotalCount(),
				this.refused, this.failed, latencyMilliseconds(50), latencyMilliseconds(99), latencyMilliseconds(99.9));
	}

}
