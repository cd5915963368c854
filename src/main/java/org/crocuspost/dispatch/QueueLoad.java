package org.crocuspost.dispatch;

/**
 * Work of one queue that has not ended.
 *
 * @param queue the name of the queue
 * @param waitingJobs the number of jobs of which no task is known to have started on a
 * worker
 * @param begunJobs the number of jobs of which a task has started on a worker
 * @param lateJobs the number of begun jobs that have missed their objective; 0 for
 * long-running jobs
 * @param unfinishedTasks the number of tasks of begun jobs that are not done
 * @param assignedTasks the number of tasks that are assigned to a worker
 * @param assignedMilliCores the processor capacity that the assigned tasks request, in
 * thousandths of a core
 * @param usedMilliCores the processor capacity that fillers use according to the last
 * reports, in thousandths of a core; 0 for other tasks, whose use is not reported
 */
public record QueueLoad(String queue, int waitingJobs, int begunJobs, int lateJobs, int unfinishedTasks,
		int assignedTasks, long assignedMilliCores, long usedMilliCores) {

	QueueLoad plus(QueueLoad other) {
		return new QueueLoad(this.queue, this.waitingJobs + other.waitingJobs, this.begunJobs + other.begunJobs,
				this.lateJobs + other.lateJobs, this.unfinishedTasks + other.unfinishedTasks,
				this.assignedTasks + other.assignedTasks, this.assignedMilliCores + other.assignedMilliCores,
				this.usedMilliCores + other.usedMilliCores);
	}

}
