package org.crocuspost.daemon;

import picocli.CommandLine.IVersionProvider;

/**
 * Provides the version of crocuspost that the build sets.
 */
public final class BuildVersion implements IVersionProvider {

	@Override
	public String[] getVersion() {
		return new String[] { "crocuspost " + current() };
	}

	/**
	 * Returns the version from the manifest of the JAR file.
	 * @return the version, or "development" if the classes were not loaded from a JAR
	 * file
	 */
	public static String current() {
		String version = BuildVersion.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
