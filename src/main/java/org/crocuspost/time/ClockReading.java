package org.crocuspost.time;

import java.time.Duration;

/**
 * A moment by both clocks of a process, for permissions that expire.
 *
 * <p>
 * The monotonic clock stands still while a host is suspended, and the wall clock may be
 * set back. The age of a reading is therefore the longer of the two times: a process that
 * was suspended, or whose wall clock was set forward, believes that a permission has
 * expired too early, but never too late.
 *
 * @param nanos the monotonic time, in nanoseconds
 * @param millis the Unix time, in milliseconds
 */
public record ClockReading(long nanos, long millis) {

	/**
	 * Reads both clocks.
	 * @param clock the clock of the process
	 * @return the reading
	 */
	public static ClockReading of(Clock clock) {
		return new ClockReading(clock.nanoTime(), clock.millis());
	}

	/**
	 * Returns the time since this reading.
	 * @param clock the clock of the process
	 * @return the longer of the times by the two clocks
	 */
	public Duration age(Clock clock) {
		Duration monotonic = Duration.ofNanos(clock.nanoTime() - this.nanos);
		Duration wall = Duration.ofMillis(clock.millis() - this.millis);
		return (wall.compareTo(monotonic) > 0) ? wall : monotonic;
	}

	/**
	 * Returns the earlier of two moments, by each clock.
	 * @param other the other moment
	 * @return the earlier moment
	 */
	public ClockReading earlier(ClockReading other) {
		return new ClockReading(Math.min(this.nanos, other.nanos), Math.min(this.millis, other.millis));
	}

	/**
	 * Returns a later moment.
	 * @param duration the time after this reading
	 * @return the moment
	 */
	public ClockReading plus(Duration duration) {
		return new ClockReading(this.nanos + duration.toNanos(), this.millis + duration.toMillis());
	}

}
