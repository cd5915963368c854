package org.crocuspost.dispatch;

/**
 * Rows that wait to be recorded. Those of a transaction in progress are not included.
 *
 * @param jobRows the rows of jobs
 * @param taskRows the rows of tasks
 * @param starts the rows of tasks with a run whose start order is sent once they are
 * recorded
 */
public record RecordBacklog(int jobRows, int taskRows, int starts) {

	/**
	 * Returns the number of rows of both kinds.
	 * @return the number of rows
	 */
	public int rows() {
		return this.jobRows + this.taskRows;
	}

}
