package org.crocuspost.scheduler;

import java.util.HashMap;
import java.util.Map;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;

/**
 * Logs why jobs wait, one line for each change of a job's reason. Changes beyond the
 * maximum per round are logged in the next rounds if they still apply.
 */
final class WaitLog {

	/**
	 * The maximum number of lines that one round logs, because one release note can
	 * change the reason of every job.
	 */
	private static final int MAX_LINES_PER_ROUND = 10;

	private final String scheduler;

	private final Map<String, WaitReason> loggedReasons = new HashMap<>();

	WaitLog(String scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Logs the reasons that have changed since they were last logged.
	 * @param waits the reasons why jobs wait, by job name
	 */
	void logChanges(Map<String, JobWait> waits) {
		this.loggedReasons.keySet().retainAll(waits.keySet());
		waits.entrySet()
			.stream()
			.filter((entry) -> this.loggedReasons.get(entry.getKey()) != entry.getValue().reason())
			.limit(MAX_LINES_PER_ROUND)
			.forEach((entry) -> log(entry.getKey(), entry.getValue()));
	}

	private void log(String job, JobWait wait) {
		this.loggedReasons.put(job, wait.reason());
		EventLog.info(SchedulerEvent.JOB_WAITS, Field.of("scheduler", this.scheduler), Field.of("job", job),
				Field.of("reason", wait.reason()), Field.of("detail", wait.detail()));
	}

}
