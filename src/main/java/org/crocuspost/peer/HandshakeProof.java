package org.crocuspost.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.crocuspost.wire.Hello;

/**
 * Computes and checks the proof that one end of a connection has the secret of the
 * deployment. The proof covers the side of its sender (dialer or acceptor), so that a
 * peer without the secret cannot authenticate by sending a proof back to the end that
 * computed it (reflection attack).
 */
final class HandshakeProof {

	private static final String ALGORITHM = "HmacSHA256";

	private final DeploymentSecret secret;

	HandshakeProof(DeploymentSecret secret) {
		this.secret = secret;
	}

	/**
	 * Computes the proof of one end.
	 * @param sender the hello message of the end that sends the proof
	 * @param receiver the hello message of the other end
	 * @param side the side of the sender
	 * @return the proof
	 */
	byte[] compute(Hello sender, Hello receiver, ConnectionSide side) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(this.secret.key(), ALGORITHM));
			mac.update((byte) side.ordinal());
			mac.update((byte) sender.getRoleValue());
			update(mac, sender.getName().getBytes(StandardCharsets.UTF_8));
			update(mac, sender.getIncarnation().getBytes(StandardCharsets.UTF_8));
			update(mac, sender.getFailureDomain().getBytes(StandardCharsets.UTF_8));
			update(mac, sender.getChallenge().toByteArray());
			update(mac, receiver.getChallenge().toByteArray());
			return mac.doFinal();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Checks a proof in constant time.
	 * @param proof the proof that was received
	 * @param sender the hello message of the end that sends the proof
	 * @param receiver the hello message of the other end
	 * @param side the side of the sender
	 * @return true if the sender has the secret
	 */
	boolean matches(byte[] proof, Hello sender, Hello receiver, ConnectionSide side) {
		return MessageDigest.isEqual(compute(sender, receiver, side), proof);
	}

	private static void update(Mac mac, byte[] value) {
		mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(value.length).array());
		mac.update(value);
	}

}
