package org.crocuspost.time;

/**
 * Handle on a scheduled action.
 */
@FunctionalInterface
public interface Cancellable {

	/**
	 * Cancels the action. Has no effect once the action has run.
	 */
	void cancel();

}
