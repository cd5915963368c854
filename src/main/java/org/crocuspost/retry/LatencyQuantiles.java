package org.crocuspost.retry;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.HdrHistogram.Histogram;

/**
 * Recent latencies of each service. The quantile is taken from the last complete batch of
 * samples, so it follows changes and costs nothing for each request.
 */
final class LatencyQuantiles {

	private static final int BATCH = 500;

	private static final double PERCENTILE = 95;

	private static final long HIGHEST_MICROSECONDS = 60_000_000;

	private static final int DIGITS = 2;

	private final Map<String, Recorder> recorders = new ConcurrentHashMap<>();

	void record(String service, Duration latency) {
		this.recorders.computeIfAbsent(service, (name) -> new Recorder()).record(latency);
	}

	/**
	 * Returns the time within which most requests of a service are answered.
	 * @param service the name of the service
	 * @return the time; empty before the first batch is complete
	 */
	Optional<Duration> quantile(String service) {
		return Optional.ofNullable(this.recorders.get(service)).flatMap(Recorder::quantile);
	}

	private static final class Recorder {

		private final Histogram batch = new Histogram(HIGHEST_MICROSECONDS, DIGITS);

		private volatile Optional<Duration> quantile = Optional.empty();

		private synchronized void record(Duration latency) {
			long microseconds = Math.min(HIGHEST_MICROSECONDS, latency.toNanos() / 1000);
			this.batch.recordValue(microseconds);
			if (this.batch.getTotalCount() >= BATCH) {
				this.quantile = Optional.of(Duration.ofNanos(this.batch.getValueAtPercentile(PERCENTILE) * 1000));
				this.batch.reset();
			}
		}

		private Optional<Duration> quantile() {
			return this.quantile;
		}

	}

}
