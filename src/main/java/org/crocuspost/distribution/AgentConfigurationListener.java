package org.crocuspost.distribution;

/**
 * Is told when an agent acts on a newer configuration. Called on network threads, so an
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
