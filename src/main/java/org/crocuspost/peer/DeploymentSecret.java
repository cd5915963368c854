package org.crocuspost.peer;

import java.nio.charset.StandardCharsets;

/**
 * Holds the secret that all processes of one deployment share and that authenticates
 * their connections. Its text never appears in logs.
 */
public final class DeploymentSecret {

	private final byte[] key;

	/**
	 * Creates a secret.
	 * @param text the secret; not empty
	 */
	public DeploymentSecret(String text) {
		if (text.isEmpty()) {
			throw new IllegalArgumentException("the secret of the deployment must not be empty");
		}
		this.key = text.getBytes(StandardCharsets.UTF_8);
	}

	byte[] key() {
		return this.key.clone();
	}

	@Override
	public String toString() {
		return "DeploymentSecret[hidden]";
	}

}
