package org.crocuspost.task;

/**
 * Builds the identities of tasks. An identity consists of the name of the job, a slash
 * and the index of the task.
 */
public final class TaskIds {

	private TaskIds() {
	}

	/**
	 * Returns the identity of a task.
	 * @param job the name of the job
	 * @param index the index of the task, from 0
	 * @return the identity
	 */
	public static String of(String job, int index) {
		return job + "/" + index;
	}

}
