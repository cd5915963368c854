package org.crocuspost.lead;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.rows.RowCommit;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;

/**
 * The time of the store's steady clock in an answer, with the local times between which
 * the store read it.
 *
 * @param storeMillis the time of the store's clock, in milliseconds
 * @param sent when the call was sent, by the clocks of this process
 * @param receivedNanos when the answer was received, in nanoseconds of the process clock
 */
record StoreClockReading(long storeMillis, ClockReading sent, long receivedNanos) {

	/**
	 * Factor by which two steady clocks may differ in speed, according to the
	 * documentation of the platform.
	 */
	static final double CLOCK_DRIFT_FACTOR = 1.02;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Takes the reading from an answer that has just been received.
	 * @param commit the answer
	 * @param sent when the call was sent, by the clocks of this process
	 * @param clock the clock of the process
	 * @return the reading; empty if the store does not tell its time
	 */
	static Optional<StoreClockReading> of(RowCommit commit, ClockReading sent, Clock clock) {
		return commit.storeMillis().isPresent()
				? Optional.of(new StoreClockReading(commit.storeMillis().getAsLong(), sent, clock.nanoTime()))
				: Optional.empty();
	}

	/**
	 * Returns a time of the store's clock that is not before a moment.
	 * @param nanos the moment, before the call was sent, in nanoseconds of the process
	 * clock
	 * @return the time, in milliseconds
	 */
	long storeMillisNotBefore(long nanos) {
		double elapsed = Math.max(0, this.sent.nanos() - nanos) / CLOCK_DRIFT_FACTOR;
		return Math.max(0, this.storeMillis - (long) (elapsed / NANOS_PER_MILLI));
	}

	/**
	 * Returns a moment that is not before a time of the store's clock.
	 * @param millis the time, in milliseconds
	 * @return the moment, in nanoseconds of the process clock
	 */
	long nanosNotBefore(long millis) {
		double difference = (millis - this.storeMillis) * (double) NANOS_PER_MILLI;
		double factor = (difference > 0) ? CLOCK_DRIFT_FACTOR : 1 / CLOCK_DRIFT_FACTOR;
		return this.receivedNanos + (long) (difference * factor);
	}

	/**
	 * Returns the time of the store's clock after which a permission has certainly
	 * expired that a process counts by its own clocks from the moment at which the call
	 * was sent.
	 * @param permission the duration of the permission
	 * @return the time, in milliseconds
	 */
	long expiryMillis(Duration permission) {
		return this.storeMillis + (long) Math.ceil(permission.toMillis() * CLOCK_DRIFT_FACTOR);
	}

}
