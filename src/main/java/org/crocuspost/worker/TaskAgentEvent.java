package org.crocuspost.worker;

import org.crocuspost.log.LogEvent;

/**
 * Events of the agent side of batch work.
 */
public enum TaskAgentEvent implements LogEvent {

	/**
	 * A task command was refused.
	 */
	TASK_COMMAND_REFUSED,

	/**
	 * The memory in use is larger than the worker can give.
	 */
	WORKER_MEMORY_EXCEEDED

}
