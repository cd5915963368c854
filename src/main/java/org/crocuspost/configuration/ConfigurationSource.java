package org.crocuspost.configuration;

/**
 * Provides the newest configuration that this process has received.
 */
public interface ConfigurationSource {

	/**
	 * Returns the newest configuration. Its version never decreases.
	 * @return the configuration
	 */
	Configuration current();

	/**
	 * Adds a listener that is called with each newer configuration, in ascending order of
	 * version.
	 * @param listener the listener
	 */
	void addListener(ConfigurationListener listener);

}
