package org.crocuspost.operations;

import java.util.List;

/**
 * Why a task or a request is in its state.
 *
 * @param id the identity
 * @param state the state
 * @param reasons the reasons in plain English, newest first
 */
public record Explanation(String id, String state, List<String> reasons) {

	public Explanation {
		reasons = List.copyOf(reasons);
	}

}
