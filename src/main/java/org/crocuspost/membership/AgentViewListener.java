package org.crocuspost.membership;

/**
 * Listener for the lists of live processes that an agent receives. An implementation must
 * not block.
 */
@FunctionalInterface
public interface AgentViewListener {

	/**
	 * Called after each directory that was received or read. The view may be the same as
	 * before.
	 * @param view the current view
	 */
	void viewChanged(AgentView view);

}
