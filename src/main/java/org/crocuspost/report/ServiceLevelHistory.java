package org.crocuspost.report;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Holds the request counts and latencies of one service. Thread-safe.
 */
final class ServiceLevelHistory {

	/**
	 * Time for which counts are kept.
	 */
	static final Duration RETENTION = Duration.ofHours(24);

	private static final long HISTOGRAM_ROTATION_MINUTES = 30;

	private static final long MAXIMUM_LATENCY_MICROS = Duration.ofHours(1).toNanos() / 1_000;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Deque<MinuteCounts> minutes = new ArrayDeque<>();

	private Histogram currentHistogram = newHistogram();

	private Histogram previousHistogram = newHistogram();

	private long currentHistogramStartMinute;

	private static Histogram newHistogram() {
		return new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
	}

	synchronized void record(long minute, boolean available, boolean slow, Duration latency) {
		MinuteCounts single = new MinuteCounts(minute, 1, available ? 0 : 1, (available && slow) ? 1 : 0);
		MinuteCounts last = this.minutes.peekLast();
		if (last != null && last.minute() >= minute) {
			this.minutes.removeLast();
			this.minutes.addLast(last.plus(single));
		}
		else {
			this.minutes.addLast(single);
			dropBefore(minute - RETENTION.toMinutes());
		}
		rotate(minute);
		this.currentHistogram.recordValue(Math.min(MAXIMUM_LATENCY_MICROS, latency.toNanos() / 1_000));
	}

	private void dropBefore(long minute) {
		while (!this.minutes.isEmpty() && this.minutes.peekFirst().minute() <= minute) {
			this.minutes.removeFirst();
		}
	}

	private void rotate(long minute) {
		if (minute - this.currentHistogramStartMinute >= HISTOGRAM_ROTATION_MINUTES) {
			Histogram recycled = this.previousHistogram;
			this.previousHistogram = this.currentHistogram;
			recycled.reset();
			this.currentHistogram = recycled;
			this.currentHistogramStartMinute = minute;
		}
	}

	synchronized List<MinuteCounts> minutes() {
		return new ArrayList<>(this.minutes);
	}

	synchronized Duration percentile(double percentile) {
		Histogram combined = this.previousHistogram.copy();
		combined.add(this.currentHistogram);
		return Duration.ofNanos(combined.getValueAtPercentile(percentile) * 1_000);
	}

}
