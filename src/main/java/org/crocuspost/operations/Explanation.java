package org.crocuspost.operations;

import java.util.List;

/**
 * Explains why a task or a request is in its state.
 *
 * @param id the id of the task or request
 * @param state the state
 * @param reasons the reasons in plain English, newest first
 */
public record Explanation(String id, String state, List<String> reasons) {

	public Explanation {
		reasons = List.copyOf(reasons);
	}

}
