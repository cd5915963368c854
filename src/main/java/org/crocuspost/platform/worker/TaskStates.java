package org.crocuspost.platform.worker;

import java.util.List;

/**
 * States of attempts in an answer of the worker runtime.
 *
 * @param attempts the states
 */
public record TaskStates(List<TaskState> attempts) {

	public TaskStates {
		attempts = List.copyOf(attempts);
	}

}
