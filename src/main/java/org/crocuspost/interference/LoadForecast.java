package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Forecasts the load of a service from the load at the same time on earlier days. The
 * highest load within the run time of a task is returned, so that a task that would still
 * be running at the morning peak can be placed elsewhere. Not thread-safe.
 */
public final class LoadForecast {

	private static final Duration DAY = Duration.ofDays(1);

	private static final double NEWEST_CYCLE_WEIGHT = 0.4;

	private final Duration bucket;

	private final Duration cycle;

	private final ZoneId zone;

	private final double[] peaks;

	private final boolean[] hasPeak;

	private long openBucket = Long.MIN_VALUE;

	private double openPeak;

	/**
	 * Creates a forecast for days of 24 hours.
	 * @param bucket the length of the intervals for which a peak is kept; divides the day
	 * @param zone the time zone of the service's callers
	 */
	public LoadForecast(Duration bucket, ZoneId zone) {
		this(bucket, DAY, zone);
	}

	/**
	 * Creates a forecast without a time zone for a cycle of any length.
	 * @param bucket the length of the intervals for which a peak is kept
	 * @param cycle the length of the cycle; a multiple of the bucket
	 * @return the forecast
	 */
	public static LoadForecast ofCycle(Duration bucket, Duration cycle) {
		return new LoadForecast(bucket, cycle, ZoneOffset.UTC);
	}

	private LoadForecast(Duration bucket, Duration cycle, ZoneId zone) {
		if (cycle.toNanos() % bucket.toNanos() != 0) {
			throw new IllegalArgumentException("the length of the cycle must be a multiple of the bucket");
		}
		this.bucket = bucket;
		this.cycle = cycle;
		this.zone = zone;
		this.peaks = new double[(int) cycle.dividedBy(bucket)];
		this.hasPeak = new boolean[this.peaks.length];
	}

	/**
	 * Records a measurement of the current load.
	 * @param time the current time; must not be earlier than that of the last call
	 * @param load the load in any unit
	 */
	public void observe(Instant time, double load) {
		long current = bucketOf(time);
		if (current != this.openBucket) {
			closeBucket();
			this.openBucket = current;
			this.openPeak = load;
		}
		this.openPeak = Math.max(this.openPeak, load);
	}

	/**
	 * Returns the forecast of the highest load.
	 * @param from the current time
	 * @param horizon how far to look ahead
	 * @return the highest load of the buckets within the horizon, but at least the
	 * highest load of the current bucket so far, which also stands for buckets without
	 * data
	 */
	public double peak(Instant from, Duration horizon) {
		double peak = this.openPeak;
		long last = Math.min(horizon.dividedBy(this.bucket) + 1, this.peaks.length);
		long first = bucketOf(from);
		for (long ahead = 0; ahead <= last; ahead++) {
			int index = (int) Math.floorMod(first + ahead, (long) this.peaks.length);
			if (this.hasPeak[index]) {
				peak = Math.max(peak, this.peaks[index]);
			}
		}
		return peak;
	}

	private void closeBucket() {
		if (this.openBucket == Long.MIN_VALUE) {
			return;
		}
		int index = (int) Math.floorMod(this.openBucket, (long) this.peaks.length);
		double earlier = (this.hasPeak[index]) ? this.peaks[index] : this.openPeak;
		this.peaks[index] = (1 - NEWEST_CYCLE_WEIGHT) * earlier + NEWEST_CYCLE_WEIGHT * this.openPeak;
		this.hasPeak[index] = true;
	}

	private long bucketOf(Instant time) {
		if (!this.cycle.equals(DAY)) {
			return Duration.between(Instant.EPOCH, time).dividedBy(this.bucket);
		}
		long dayNumber = time.atZone(this.zone).toLocalDate().toEpochDay();
		LocalTime local = time.atZone(this.zone).toLocalTime();
		return dayNumber * this.peaks.length + local.toNanoOfDay() / this.bucket.toNanos();
	}

}
