package org.crocuspost.interference;

import java.time.Duration;
import java.util.Arrays;

import org.crocuspost.time.Clock;

/**
 * Sliding window of the latencies of the service on one worker. For a busy service it
 * covers the last seconds; for a service with few requests it covers the last requests
 * that are not too old. Thread-safe.
 */
public final class ServiceLatencyWindow {

	/**
	 * Age up to which latencies are always included.
	 */
	static final Duration RECENT_AGE = Duration.ofSeconds(10);

	/**
	 * Age beyond which latencies are never included.
	 */
	static final Duration MAX_AGE = Duration.ofSeconds(60);

	/**
	 * Number of samples up to which latencies older than {@link #RECENT_AGE} are
	 * included.
	 */
	static final int TARGET_SAMPLES = 50;

	private static final int CAPACITY = 2048;

	private static final Duration MIN_LATENCY = Duration.ofNanos(1000);

	private final Clock clock;

	private final double[] latencySeconds = new double[CAPACITY];

	private final long[] recordedNanos = new long[CAPACITY];

	private long recordedCount;

	private int intervalSamples;

	private double intervalLogSum;

	private double intervalLogSquareSum;

	/**
	 * Creates an empty window.
	 * @param clock the clock from which the ages of latencies are computed
	 */
	public ServiceLatencyWindow(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records the latency of one answered request.
	 * @param latency the time from the arrival at the agent to the end of the response
	 */
	public synchronized void record(Duration latency) {
		double value = Math.max(latency.toNanos(), MIN_LATENCY.toNanos()) / 1e9;
		int position = (int) (this.recordedCount % CAPACITY);
		this.latencySeconds[position] = value;
		this.recordedNanos[position] = this.clock.nanoTime();
		this.recordedCount++;
		double log = Math.log(value);
		this.intervalSamples++;
		this.intervalLogSum += log;
		this.intervalLogSquareSum += log * log;
	}

	/**
	 * Estimates a high quantile of the current latency.
	 * @param quantile the quantile, between 0 and 1
	 * @return the estimate
	 */
	public TailEstimate tail(double quantile) {
		double[] samples = currentSamples();
		double tail = TailEstimator.estimate(samples, quantile);
		return new TailEstimate(Duration.ofNanos((long) (tail * 1e9)), samples.length);
	}

	/**
	 * Summarizes the latencies since the last call of this method.
	 * @return the summary
	 */
	public synchronized LatencyInterval nextInterval() {
		if (this.intervalSamples == 0) {
			return LatencyInterval.EMPTY;
		}
		double mean = this.intervalLogSum / this.intervalSamples;
		double variance = Math.max(0, this.intervalLogSquareSum / this.intervalSamples - mean * mean);
		LatencyInterval interval = new LatencyInterval(this.intervalSamples, mean, variance);
		this.intervalSamples = 0;
		this.intervalLogSum = 0;
		this.intervalLogSquareSum = 0;
		return interval;
	}

	/**
	 * Removes all latencies.
	 */
	public synchronized void clear() {
		this.recordedCount = 0;
		nextInterval();
	}

	private synchronized double[] currentSamples() {
		long now = this.clock.nanoTime();
		int kept = (int) Math.min(this.recordedCount, CAPACITY);
		double[] samples = new double[kept];
		int count = 0;
		for (int offset = 1; offset <= kept; offset++) {
			int position = (int) ((this.recordedCount - offset) % CAPACITY);
			long age = now - this.recordedNanos[position];
			if (age > MAX_AGE.toNanos() || (age > RECENT_AGE.toNanos() && count >= TARGET_SAMPLES)) {
				break;
			}
			samples[count++] = this.latencySeconds[position];
		}
		return Arrays.copyOf(samples, count);
	}

}
