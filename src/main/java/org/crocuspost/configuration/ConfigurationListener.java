package org.crocuspost.configuration;

/**
 * Is told when a newer configuration is known.
 */
@FunctionalInterface
public interface ConfigurationListener {

	/**
	 * Called once for each newer configuration, in order of version.
	 * @param configuration the newer configuration
	 */
	void configurationChanged(Configuration configuration);

}
