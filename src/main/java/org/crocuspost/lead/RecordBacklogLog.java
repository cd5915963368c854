package org.crocuspost.lead;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.dispatch.RecordBacklog;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs how many rows wait to be recorded while they do not fit into one transaction, so
 * that starts that wait behind other rows can be recognized. After the loss of many
 * workers there are thousands of rows of lost runs.
 */
final class RecordBacklogLog {

	private static final Duration MINIMUM_INTERVAL = Duration.ofSeconds(1);

	private final Dispatcher dispatcher;

	private final Clock clock;

	private OptionalLong loggedNanos = OptionalLong.empty();

	RecordBacklogLog(Dispatcher dispatcher, Clock clock) {
		this.dispatcher = dispatcher;
		this.clock = clock;
	}

	/**
	 * Writes a line if there is a backlog and the interval since the previous line has
	 * passed.
	 */
	void writeIfDue() {
		takeIfDue()
			.ifPresent((backlog) -> EventLog.info(LeadEvent.RECORD_BACKLOG, Field.of("jobRows", backlog.jobRows()),
					Field.of("taskRows", backlog.taskRows()), Field.of("starts", backlog.starts())));
	}

	Optional<RecordBacklog> takeIfDue() {
		long now = this.clock.nanoTime();
		RecordBacklog backlog = this.dispatcher.recordBacklog();
		boolean due = this.loggedNanos.isEmpty() || now - this.loggedNanos.getAsLong() >= MINIMUM_INTERVAL.toNanos();
		if (!due || backlog.rows() <= LeadershipTimings.MAXIMUM_ROWS_PER_TRANSACTION) {
			return Optional.empty();
		}
		this.loggedNanos = OptionalLong.of(now);
		return Optional.of(backlog);
	}

}
