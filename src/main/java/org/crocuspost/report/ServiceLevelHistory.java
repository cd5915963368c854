package org.crocuspost.report;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of one service. Safe for use by several threads.
 */
final class ServiceLevelHistory {

	/**
	 * How long counts are kept.
	 */
	static final Duration KEPT = Duration.ofHours(24);

	private static final long HISTOGRAM_MINUTES = 30;

	private static final long LONGEST_MICROS = Duration.ofHours(1).toNanos() / 1_000;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Deque<MinuteCounts> minutes = new ArrayDeque<>();

	private Histogram newer = histogram();

	private Histogram older = histogram();

	private long newerSince;

	private static Histogram histogram() {
		return new Histogram(LONGEST_MICROS, SIGNIFICANT_DIGITS);
	}

	synchronized void record(long minute, boolean available, boolean slow, Duration latency) {
		MinuteCounts one = new MinuteCounts(minute, 1, available ? 0 : 1, (available && slow) ? 1 : 0);
		MinuteCounts last = this.minutes.peekLast();
		if (last != null && last.minute() >= minute) {
			this.minutes.removeLast();
			this.minutes.addLast(last.plus(one));
		}
		else {
			this.minutes.addLast(one);
			dropBefore(minute - KEPT.toMinutes());
		}
		rotate(minute);
		this.newer.recordValue(Math.min(LONGEST_MICROS, latency.toNanos() / 1_000));
	}

	private void dropBefore(long minute) {
		while (!this.minutes.isEmpty() && this.minutes.peekFirst().minute() <= minute) {
			this.minutes.removeFirst();
		}
	}

	private void rotate(long minute) {
		if (minute - this.newerSince >= HISTOGRAM_MINUTES) {
			Histogram reused = this.older;
			this.older = this.newer;
			reused.reset();
			this.newer = reused;
			this.newerSince = minute;
		}
	}

	synchronized List<MinuteCounts> minutes() {
		return new ArrayList<>(this.minutes);
	}

	synchronized Duration percentile(double percentile) {
		Histogram sum = this.older.copy();
		sum.add(this.newer);
		return Duration.ofNanos(sum.getValueAtPercentile(percentile) * 1_000);
	}

}
