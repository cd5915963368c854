package org.crocuspost.release;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the digests of snapshots and notes.
 */
public final class Digests {

	private Digests() {
	}

	/**
	 * Computes the SHA-256 digest of some bytes.
	 * @param content the bytes
	 * @return the digest in hexadecimal
	 */
	public static String sha256(byte[] content) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
