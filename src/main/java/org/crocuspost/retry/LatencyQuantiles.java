package org.crocuspost.retry;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.HdrHistogram.Histogram;

/**
 * Computes the 95th percentile of recent latencies of each service. The quantile is
 * computed once for each complete batch of samples, so it follows changes and reading it
 * costs no computation per request.
 */
final class LatencyQuantiles {

	private static final int BATCH_SIZE = 500;

	private static final double PERCENTILE = 95;

	private static final long MAXIMUM_MICROSECONDS = 60_000_000;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Map<String, Recorder> recorders = new ConcurrentHashMap<>();

	void record(String service, Duration latency) {
		this.recorders.computeIfAbsent(service, (name) -> new Recorder()).record(latency);
	}

	/**
	 * Returns the time within which 95% of the requests in the last complete batch of a
	 * service were answered.
	 * @param service the name of the service
	 * @return the time; empty before the first batch is complete
	 */
	Optional<Duration> quantile(String service) {
		return Optional.ofNullable(this.recorders.get(service)).flatMap(Recorder::quantile);
	}

	private static final class Recorder {

		private final Histogram batch = new Histogram(MAXIMUM_MICROSECONDS, SIGNIFICANT_DIGITS);

		private volatile Optional<Duration> quantile = Optional.empty();

		private synchronized void record(Duration latency) {
			long microseconds = Math.min(MAXIMUM_MICROSECONDS, latency.toNanos() / 1000);
			this.batch.recordValue(microseconds);
			if (this.batch.getTotalCount() >= BATCH_SIZE) {
				this.quantile = Optional.of(Duration.ofNanos(this.batch.getValueAtPercentile(PERCENTILE) * 1000));
				this.batch.reset();
			}
		}

		private Optional<Duration> quantile() {
			return this.quantile;
		}

	}

}
