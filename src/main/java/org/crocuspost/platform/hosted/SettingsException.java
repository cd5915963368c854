package org.crocuspost.platform.hosted;

import java.util.List;

/**
 * Thrown if settings have errors.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param errors the messages of all errors
	 */
	public SettingsException(List<String> errors) {
		super(String.join("; ", errors));
	}

}
