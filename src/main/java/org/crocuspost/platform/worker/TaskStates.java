package org.crocuspost.platform.worker;

import java.util.List;

/**
 * Body of a worker runtime response that lists attempts.
 *
 * @param attempts the states of the attempts
 */
public record TaskStates(List<TaskState> attempts) {

	public TaskStates {
		attempts = List.copyOf(attempts);
	}

}
