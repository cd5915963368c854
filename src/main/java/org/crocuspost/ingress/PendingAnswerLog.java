package org.crocuspost.ingress;

import java.time.Duration;
import java.util.OptionalInt;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs the counts of pending jobs that callers receive, with the state of the ledger's
 * rows they were counted from, so that a wrong count can be traced to outdated rows or to
 * missing jobs.
 */
final class PendingAnswerLog {

	/**
	 * Maximum number of lines in an interval. Callers may ask for counts at any rate.
	 */
	static final int MAXIMUM_LINES_PER_INTERVAL = 20;

	static final Duration INTERVAL = Duration.ofSeconds(1);

	private final IngressMetrics metrics;

	private final Clock clock;

	private long intervalStartNanos;

	private int lines;

	private int omitted;

	PendingAnswerLog(IngressMetrics metrics, Clock clock) {
		this.metrics = metrics;
		this.clock = clock;
		this.intervalStartNanos = clock.nanoTime();
	}

	/**
	 * Records an answered count in the metrics and, within the limit, in the log.
	 * @param queue the name of the queue
	 * @param count the count
	 * @param complete whether the caller received the count; otherwise it was refused,
	 * since recent jobs may be missing in it
	 */
	void answered(String queue, PendingCount count, boolean complete) {
		this.metrics.recordPendingAnswer(count.view().age());
		takeLine().ifPresent((omittedLines) -> EventLog.info(IngressEvent.PENDING_ANSWERED, Field.of("queue", queue),
				Field.of("complete", complete), Field.of("count", count.total()),
				Field.of("recorded", count.recorded()), Field.of("accepted", count.accepted()),
				Field.of("ledgerRead", count.view().read()), Field.of("ledgerVersion", count.view().version()),
				Field.of("ledgerAgeMillis", count.view().age().toMillis()),
				Field.of("submissionsAgeMillis", count.view().submissionsAge().toMillis()),
				Field.of("omitted", omittedLines)));
	}

	/**
	 * Takes one of the lines of the current interval.
	 * @return how many lines were omitted since the previous one; empty if this line is
	 * to be omitted too
	 */
	OptionalInt takeLine() {
		long now = this.clock.nanoTime();
		if (now - this.intervalStartNanos >= INTERVAL.toNanos()) {
			this.intervalStartNanos = now;
			this.lines = 0;
		}
		if (this.lines >= MAXIMUM_LINES_PER_INTERVAL) {
			this.omitted++;
			return OptionalInt.empty();
		}
		this.lines++;
		int omittedLines = this.omitted;
		this.omitted = 0;
		return OptionalInt.of(omittedLines);
	}

}
