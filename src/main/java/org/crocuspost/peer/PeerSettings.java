package org.crocuspost.peer;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of the connections between processes.
 *
 * @param self the identity of this process
 * @param secret the secret of the deployment, which both ends must have
 * @param pingInterval the time between two pings
 * @param maximumMissedPings the maximum number of consecutive ping intervals without a
 * frame; the connection is closed after one more
 * @param handshakeTimeout the time within which the other end must prove that it has the
 * secret
 * @param maximumFrameBytes the maximum size of an accepted frame
 * @param outboundLimitBytes the maximum number of bytes that wait to be sent; while it is
 * exceeded, frames are not accepted for sending
 */
public record PeerSettings(PeerIdentity self, DeploymentSecret secret, Duration pingInterval, int maximumMissedPings,
		Duration handshakeTimeout, int maximumFrameBytes, int outboundLimitBytes) {

	private static final Duration DEFAULT_PING_INTERVAL = Duration.ofMillis(500);

	private static final int DEFAULT_MAXIMUM_MISSED_PINGS = 3;

	private static final Duration DEFAULT_HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

	private static final int DEFAULT_MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024;

	private static final int DEFAULT_OUTBOUND_LIMIT_BYTES = 8 * 1024 * 1024;

	public PeerSettings {
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(secret, "secret");
	}

	/**
	 * Creates settings with the default times and sizes.
	 * @param self the identity of this process
	 * @param secret the secret of the deployment
	 * @return the settings
	 */
	public static PeerSettings of(PeerIdentity self, DeploymentSecret secret) {
		return new PeerSettings(self, secret, DEFAULT_PING_INTERVAL, DEFAULT_MAXIMUM_MISSED_PINGS,
				DEFAULT_HANDSHAKE_TIMEOUT, DEFAULT_MAXIMUM_FRAME_BYTES, DEFAULT_OUTBOUND_LIMIT_BYTES);
	}

}
