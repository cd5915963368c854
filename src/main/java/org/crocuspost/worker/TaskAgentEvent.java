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
	 * The memory in use exceeds the memory capacity of the worker.
	 */
	WORKER_MEMORY_EXCEEDED

}
