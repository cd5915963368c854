package org.crocuspost.platform.worker;

/**
 * State of an attempt as reported by the worker runtime.
 *
 * @param attempt the attempt
 * @param jobName the job to which the task belongs
 * @param phase the phase of the attempt
 * @param resources the resources that are reserved for the attempt
 * @param checkpoint the reference to the newest checkpoint; empty if there is none
 * @param message why the attempt failed; empty if it did not
 */
public record TaskState(AttemptKey attempt, String jobName, Phase phase, Resources resources, String checkpoint,
		String message) {

	/**
	 * Phase of an attempt.
	 */
	public enum Phase {

		/**
		 * The attempt is running.
		 */
		RUNNING,

		/**
		 * The attempt has completed all its work.
		 */
		SUCCEEDED,

		/**
		 * The attempt ended with an error of its own.
		 */
		FAILED,

		/**
		 * The attempt was stopped, on request or because its lease expired.
		 */
		STOPPED

	}

}
