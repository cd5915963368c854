package org.crocuspost.platform.hosted;

import java.util.List;

/**
 * Settings with faults.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param faults every fault, in plain English
	 */
	public SettingsException(List<String> faults) {
		super(String.join("; ", faults));
	}

}
