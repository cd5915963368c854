package org.crocuspost.membership;

/**
 * Is told when an agent hears who is live. Must not block.
 */
@FunctionalInterface
public interface AgentViewListener {

	/**
	 * Called after each message; the view may be the same as before.
	 * @param view what the agent knows now
	 */
	void viewChanged(AgentView view);

}
