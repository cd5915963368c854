package org.crocuspost.interference;

import java.time.Duration;
import java.util.Arrays;

import org.crocuspost.time.Clock;

/**
 * Latest latencies of the service on one worker. A busy service is judged by the last
 * seconds; a service with few requests by its last requests, as long as they are not too
 * old. Safe for use by several threads.
 */
public final class ServiceLatencyWindow {

	/**
	 * Latencies younger than this always count.
	 */
	static final Duration RECENT = Duration.ofSeconds(10);

	/**
	 * Latencies older than this never count.
	 */
	static final Duration OLDEST = Duration.ofSeconds(60);

	/**
	 * Older latencies count until there are this many.
	 */
	static final int WANTED_SAMPLES = 50;

	private static final int CAPACITY = 2048;

	private static final Duration SHORTEST = Duration.ofNanos(1000);

	private final Clock clock;

	private final double[] seconds = new double[CAPACITY];

	private final long[] times = new long[CAPACITY];

	private long recorded;

	private int intervalSamples;

	private double intervalSum;

	private double intervalSquares;

	/**
	 * Creates an empty window.
	 * @param clock tells the age of latencies
	 */
	public ServiceLatencyWindow(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records the latency of one answered request.
	 * @param latency from the arrival at the agent to the end of the answer
	 */
	public synchronized void record(Duration latency) {
		double value = Math.max(latency.toNanos(), SHORTEST.toNanos()) / 1e9;
		int position = (int) (this.recorded % CAPACITY);
		this.seconds[position] = value;
		this.times[position] = this.clock.nanoTime();
		this.recorded++;
		double log = Math.log(value);
		this.intervalSamples++;
		this.intervalSum += log;
		this.intervalSquares += log * log;
	}

	/**
	 * Estimates a high quantile of the present latency.
	 * @param quantile the quantile, between 0 and 1
	 * @return the estimate
	 */
	public TailEstimate tail(double quantile) {
		double[] samples = present();
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
		double mean = this.intervalSum / this.intervalSamples;
		double variance = Math.max(0, this.intervalSquares / this.intervalSamples - mean * mean);
		LatencyInterval interval = new LatencyInterval(this.intervalSamples, mean, variance);
		this.intervalSamples = 0;
		this.intervalSum = 0;
		this.intervalSquares = 0;
		return interval;
	}

	/**
	 * Forgets all latencies.
	 */
	public synchronized void clear() {
		this.recorded = 0;
		nextInterval();
	}

	private synchronized double[] present() {
		long now = this.clock.nanoTime();
		int kept = (int) Math.min(this.recorded, CAPACITY);
		double[] samples = new double[kept];
		int count = 0;
		for (int back = 1; back <= kept; back++) {
			int position = (int) ((this.recorded - back) % CAPACITY);
			long age = now - this.times[position];
			if (age > OLDEST.toNanos() || (age > RECENT.toNanos() && count >= WANTED_SAMPLES)) {
				break;
			}
			samples[count++] = this.seconds[position];
		}
		return Arrays.copyOf(samples, count);
	}

}
