package org.crocuspost.configuration;

/**
 * Receives each newer configuration.
 */
@FunctionalInterface
public interface ConfigurationListener {

	/**
	 * Called once for each newer configuration, in ascending order of version.
	 * @param configuration the newer configuration
	 */
	void configurationChanged(Configuration configuration);

}
