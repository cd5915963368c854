package org.crocuspost.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Holds a text that must not appear in logs or reports.
 */
public final class Secret {

	private final String text;

	/**
	 * Creates a secret.
	 * @param text the text
	 */
	public Secret(String text) {
		this.text = text;
	}

	/**
	 * Compares a text with the secret in constant time: the duration does not depend on
	 * where they differ.
	 * @param candidate the text to compare
	 * @return true if the text is the secret
	 */
	public boolean matches(String candidate) {
		return MessageDigest.isEqual(this.text.getBytes(StandardCharsets.UTF_8),
				candidate.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the text, for use as a key or a credential only.
	 * @return the text
	 */
	public String reveal() {
		return this.text;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Secret secret && matches(secret.text);
	}

	@Override
	public int hashCode() {
		return this.text.hashCode();
	}

	@Override
	public String toString() {
		return "Secret[hidden]";
	}

}
