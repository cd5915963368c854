package org.crocuspost.dispatch;

import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.TaskName;

/**
 * Converts between the identities of tasks and their protobuf messages.
 */
public final class TaskNames {

	private TaskNames() {
	}

	/**
	 * Converts a message to the identity of a task.
	 * @param name the message
	 * @return the identity
	 */
	public static TaskKey key(TaskName name) {
		return new TaskKey(name.getJob(), name.getOccurrence(), name.getStep(), name.getIndex());
	}

	/**
	 * Converts the identity of a task to a message.
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
