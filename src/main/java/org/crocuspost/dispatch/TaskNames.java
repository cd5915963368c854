package org.crocuspost.dispatch;

import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.TaskName;

/**
 * Turns identities of tasks into messages and back.
 */
public final class TaskNames {

	private TaskNames() {
	}

	/**
	 * Reads a message.
	 * @param name the message
	 * @return the identity
	 */
	public static TaskKey key(TaskName name) {
		return new TaskKey(name.getJob(), name.getOccurrence(), name.getStep(), name.getIndex());
	}

	/**
	 * Writes a message.
	 * @param key the identity
	 * @return the message
	 */
	public static TaskName name(TaskKey key) {
		return TaskName.newBuilder()
			.setJob(key.job())
			.setOccurrence(key.occurrence())
			.setStep(key.step())
			.setIndex(key.index())
			.build();
	}

}
