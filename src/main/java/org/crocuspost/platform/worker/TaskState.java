package org.crocuspost.platform.worker;

/**
 * State of an attempt as the worker runtime sees it.
 *
 * @param attempt the attempt
 * @param jobName the job to which the task belongs
 * @param phase what the attempt does
 * @param resources the resources that are set aside for the attempt
 * @param checkpoint the newest checkpoint; empty if there is none
 * @param message why the attempt failed; empty if it did not
 */
public record TaskState(AttemptKey attempt, String jobName, Phase phase, Resources resources, String checkpoint,
		String message) {

	/**
	 * What an attempt does.
	 */
	public enum Phase {

		/**
		 * The attempt runs.
		 */
		RUNNING,

		/**
		 * The attempt has done all its work.
		 */
		SUCCEEDED,

		/**
		 * The attempt ended with an error of its own.
		 */
		FAILED,

		/**
		 * The attempt was stopped, by command or because its lease lapsed.
		 */
		STOPPED

	}

}
