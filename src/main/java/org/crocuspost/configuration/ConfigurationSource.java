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
	 * Returns whether a configuration has been read since the process started. Until
	 * then, the newest one is empty, which says nothing about the services there are.
	 * @return true after the first successful read
	 */
	default boolean ready() {
		return true;
	}

	/**
	 * Adds a listener that is called with each newer configuration, in ascending order of
	 * version.
	 * @param listener the listener
	 */
	void addListener(ConfigurationListener listener);

}
