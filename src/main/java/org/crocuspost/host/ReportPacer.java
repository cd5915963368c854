package org.crocuspost.host;

import java.time.Duration;

/**
 * Decides when an agent may send its next report. Not thread-safe.
 *
 * <p>
 * Load pattern: runs end 30 times a second on each of hundreds of workers, and the leader
 * or its link falls behind. A report sent for each end then waits behind earlier ones,
 * each of which is out of date when it is read, so the leader falls further behind.
 * Therefore a report waits until the previous one is answered, and covers all that
 * happened in between. The limit on the rate alone would not help a leader that is slower
 * than this rate.
 */
final class ReportPacer {

	/**
	 * Minimum time between two reports. Short beside the run time of a task, whose end it
	 * may delay.
	 */
	static final Duration MINIMUM_INTERVAL = Duration.ofMillis(40);

	/**
	 * Time after which a report is sent although the previous one is not answered: the
	 * leader may be reading its tables, and closes a connection without reports.
	 */
	static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

	private boolean sent;

	private boolean answered;

	private long sentNanos;

	private long newest;

	/**
	 * Starts anew on a new connection, on which the first report is sent immediately.
	 */
	void reset() {
		this.sent = false;
		this.answered = false;
		this.newest = 0;
	}

	/**
	 * Records that a report was sent.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void reportSent(long nowNanos) {
		this.sent = true;
		this.answered = false;
		this.sentNanos = nowNanos;
		this.newest++;
	}

	/**
	 * Records an answer of the leader.
	 * @param number the number of the answered report on the connection
	 */
	void reportAnswered(long number) {
		this.answered |= this.sent && number == this.newest;
	}

	/**
	 * Returns the time until the next report may be sent.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time; zero or negative if a report may be sent now
	 */
	Duration delay(long nowNanos) {
		if (!this.sent) {
			return Duration.ZERO;
		}
		Duration interval = this.answered ? MINIMUM_INTERVAL : ANSWER_TIMEOUT;
		return interval.minusNanos(nowNanos - this.sentNanos);
	}

}
