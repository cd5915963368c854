package org.crocuspost.lead;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs at an interval which table a new leader reads while it has not restored its state.
 * Until then it dispatches nothing, but renews its row, so no other process takes over.
 * Later it logs submissions that are not read in time.
 */
final class RestorationLog {

	/**
	 * Time after the takeover, and between two lines. A state is usually restored within
	 * one second.
	 */
	static final Duration INTERVAL = Duration.ofSeconds(2);

	/**
	 * Age of the submissions from which on they are logged as delayed. Normally they are
	 * younger than two seconds.
	 */
	static final Duration MAXIMUM_SUBMISSIONS_AGE = Duration.ofSeconds(3);

	private final long epoch;

	private final Clock clock;

	private final long takeoverNanos;

	private long loggedNanos;

	private String table = "";

	private long tableNanos;

	private long answeredNanos;

	private int rows;

	private int failures;

	private int tableFailures;

	private String reason = "";

	RestorationLog(long epoch, Clock clock) {
		this.epoch = epoch;
		this.clock = clock;
		this.takeoverNanos = clock.nanoTime();
		this.loggedNanos = this.takeoverNanos;
		this.answeredNanos = this.takeoverNanos;
	}

	/**
	 * Records that the leader begins to read a table.
	 * @param name the table
	 */
	void reading(String name) {
		this.table = name;
		this.tableNanos = this.clock.nanoTime();
		this.answeredNanos = this.tableNanos;
		this.rows = 0;
		this.tableFailures = 0;
	}

	/**
	 * Records an answer of the store.
	 * @param number the number of rows in the answer
	 */
	void pageRead(int number) {
		this.rows += number;
		this.answeredNanos = this.clock.nanoTime();
	}

	/**
	 * Records a read that has failed and is repeated.
	 * @param failure why it failed
	 */
	void readFailed(String failure) {
		this.failures++;
		this.tableFailures++;
		this.reason = failure;
		this.answeredNanos = this.clock.nanoTime();
	}

	int failures() {
		return this.failures;
	}

	/**
	 * Writes a line if the interval since the previous one has passed.
	 */
	void writeIfDue() {
		long now = this.clock.nanoTime();
		if (now - this.loggedNanos < INTERVAL.toNanos()) {
			return;
		}
		this.loggedNanos = now;
		EventLog.warn(LeadEvent.STATE_NOT_RESTORED, Field.of("epoch", this.epoch), Field.of("table", this.table),
				Field.of("rows", this.rows), Field.of("tableMillis", millis(now - this.tableNanos)),
				Field.of("sinceAnswerMillis", millis(now - this.answeredNanos)), Field.of("failures", this.failures),
				Field.of("tableFailures", this.tableFailures), Field.of("reason", this.reason),
				Field.of("sinceTakeoverMillis", millis(now - this.takeoverNanos)));
	}

	/**
	 * Writes a line if the leader may not know jobs that were accepted since it restored
	 * its state, and the interval since the previous line has passed.
	 * @param age the maximum age of the submissions that it has read
	 */
	void writeIfDelayed(Duration age) {
		long now = this.clock.nanoTime();
		if (age.compareTo(MAXIMUM_SUBMISSIONS_AGE) < 0 || now - this.loggedNanos < INTERVAL.toNanos()) {
			return;
		}
		this.loggedNanos = now;
		EventLog.warn(LeadEvent.SUBMISSIONS_DELAYED, Field.of("epoch", this.epoch),
				Field.of("ageMillis", age.toMillis()), Field.of("failures", this.failures),
				Field.of("reason", this.reason));
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

}
