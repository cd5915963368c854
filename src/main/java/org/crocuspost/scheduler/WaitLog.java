package org.crocuspost.scheduler;

import java.util.HashMap;
import java.util.Map;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;

/**
 * Logs why jobs wait, one line for each change of a job's reason. Changes beyond the
 * bound of a round are logged in the next rounds if they still hold.
 */
final class WaitLog {

	/**
	 * Lines that one round may log, because one note can change the reason of every job.
	 */
	private static final int MOST_LINES_PER_ROUND = 10;

	private final String scheduler;

	private final Map<String, WaitReason> logged = new HashMap<>();

	WaitLog(String scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Takes the reasons of a round.
	 * @param waits why jobs wait, by job
	 */
	void update(Map<String, JobWait> waits) {
		this.logged.keySet().retainAll(waits.keySet());
		waits.entrySet()
			.stream()
			.filter((entry) -> this.logged.get(entry.getKey()) != entry.getValue().reason())
			.limit(MOST_LINES_PER_ROUND)
			.forEach((entry) -> log(entry.getKey(), entry.getValue()));
	}

	private void log(String job, JobWait wait) {
		this.logged.put(job, wait.reason());
		EventLog.info(SchedulerEvent.JOB_WAITS, Field.of("scheduler", this.scheduler), Field.of("job", job),
				Field.of("reason", wait.reason()), Field.of("detail", wait.detail()));
	}

}
