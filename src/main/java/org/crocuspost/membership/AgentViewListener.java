package org.crocuspost.membership;

/**
 * Listener for the lists of live processes that an agent receives. An implementation must
 * not block.
 */
@FunctionalInterface
public interface AgentViewListener {

	/**
	 * Called after each directory that was received and each search of the table that
	 * found entries. The view may be the same as before.
	 * @param view the current view
	 */
	void viewChanged(AgentView view);

}
