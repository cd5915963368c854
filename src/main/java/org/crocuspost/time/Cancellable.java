package org.crocuspost.time;

/**
 * Handle of a scheduled action.
 */
@FunctionalInterface
public interface Cancellable {

	/**
	 * Cancels the action, or all further executions of a repeated action. Has no effect
	 * on executions that have already run.
	 */
	void cancel();

}
