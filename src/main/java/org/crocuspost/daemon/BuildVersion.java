package org.crocuspost.daemon;

import picocli.CommandLine.IVersionProvider;

/**
 * Version of crocuspost as set by the build.
 */
public final class BuildVersion implements IVersionProvider {

	@Override
	public String[] getVersion() {
		return new String[] { "crocuspost " + current() };
	}

	/**
	 * Returns the version from the manifest of the archive.
	 * @return the version, or "development" when classes run outside an archive
	 */
	public static String current() {
		String version = BuildVersion.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
