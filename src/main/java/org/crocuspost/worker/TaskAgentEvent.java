package org.crocuspost.worker;

import org.crocuspost.log.LogEvent;

/**
 * Log events of the task agent.
 */
public enum TaskAgentEvent implements LogEvent {

	/**
	 * The agent refused a task command.
	 */
	TASK_COMMAND_REFUSED,

	/**
	 * A scheduler whose lease is not confirmed has permitted the renewal of task leases
	 * to an agent that has followed no scheduler since its start, and is not followed:
	 * another scheduler may have replaced it.
	 */
	UNCONFIRMED_SCHEDULER_IGNORED,

	/**
	 * The memory in use exceeds the memory capacity of the worker.
	 */
	WORKER_MEMORY_EXCEEDED

}
