package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Forecast of the load of a service from the same time on earlier days. Gives the highest
 * load within the run time of a task, so that a task that would still run at the morning
 * peak is placed elsewhere. Not safe for use by several threads.
 */
public final class LoadForecast {

	private static final Duration DAY = Duration.ofDays(1);

	private static final double WEIGHT_OF_TODAY = 0.4;

	private final Duration bucket;

	private final Duration day;

	private final ZoneId zone;

	private final double[] peaks;

	private final boolean[] known;

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
	 * Creates a forecast without time zone for a cycle of any length.
	 * @param bucket the length of the intervals for which a peak is kept
	 * @param cycle the length of the cycle; a multiple of the bucket
	 * @return the forecast
	 */
	public static LoadForecast ofCycle(Duration bucket, Duration cycle) {
		return new LoadForecast(bucket, cycle, ZoneOffset.UTC);
	}

	private LoadForecast(Duration bucket, Duration day, ZoneId zone) {
		if (day.toNanos() % bucket.toNanos() != 0) {
			throw new IllegalArgumentException("the bucket must divide the cycle");
		}
		this.bucket = bucket;
		this.day = day;
		this.zone = zone;
		this.peaks = new double[(int) day.dividedBy(bucket)];
		this.known = new boolean[this.peaks.length];
	}

	/**
	 * Takes a measurement of the present load.
	 * @param time the present time; never earlier than that of the last call
	 * @param load the load in any unit
	 */
	public void observe(Instant time, double load) {
		long current = bucketOf(time);
		if (current != this.openBucket) {
			close();
			this.openBucket = current;
			this.openPeak = load;
		}
		this.openPeak = Math.max(this.openPeak, load);
	}

	/**
	 * Forecasts the highest load.
	 * @param from the present time
	 * @param horizon how far to look ahead
	 * @return the highest load of the buckets within the horizon; where a bucket is not
	 * known yet, the present load
	 */
	public double peak(Instant from, Duration horizon) {
		double peak = this.openPeak;
		long last = Math.min(horizon.dividedBy(this.bucket) + 1, this.peaks.length);
		long first = bucketOf(from);
		for (long ahead = 0; ahead <= last; ahead++) {
			int index = (int) Math.floorMod(first + ahead, (long) this.peaks.length);
			if (this.known[index]) {
				peak = Math.max(peak, this.peaks[index]);
			}
		}
		return peak;
	}

	private void close() {
		if (this.openBucket == Long.MIN_VALUE) {
			return;
		}
		int index = (int) Math.floorMod(this.openBucket, (long) this.peaks.length);
		double earlier = (this.known[index]) ? this.peaks[index] : this.openPeak;
		this.peaks[index] = (1 - WEIGHT_OF_TODAY) * earlier + WEIGHT_OF_TODAY * this.openPeak;
		this.known[index] = true;
	}

	private long bucketOf(Instant time) {
		if (!this.day.equals(DAY)) {
			return Duration.between(Instant.EPOCH, time).dividedBy(this.bucket);
		}
		long dayNumber = time.atZone(this.zone).toLocalDate().toEpochDay();
		LocalTime local = time.atZone(this.zone).toLocalTime();
		return dayNumber * this.peaks.length + local.toNanoOfDay() / this.bucket.toNanos();
	}

}
