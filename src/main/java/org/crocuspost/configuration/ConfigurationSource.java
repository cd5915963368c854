package org.crocuspost.configuration;

/**
 * Gives the newest configuration that this process has seen.
 */
public interface ConfigurationSource {

	/**
	 * Returns the newest configuration. Its version never falls.
	 * @return the configuration
	 */
	Configuration current();

	/**
	 * Adds a listener that is told of each newer configuration, in order of version.
	 * @param listener the listener
	 */
	void addListener(ConfigurationListener listener);

}
