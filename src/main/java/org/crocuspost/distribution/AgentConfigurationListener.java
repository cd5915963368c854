package org.crocuspost.distribution;

/**
 * Listener for newer configurations of an agent. It is called on network threads, so an
 * implementation must not block.
 */
@FunctionalInterface
public interface AgentConfigurationListener {

	/**
	 * Called once for each newer configuration, in order of version.
	 * @param configuration the part that concerns this agent
	 */
	void agentConfigurationChanged(AgentConfiguration configuration);

}
