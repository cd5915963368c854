package org.crocuspost.peer;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the connections between processes.
 *
 * @param self who this process is
 * @param secret the secret of the deployment, which both ends must know
 * @param pingInterval the time between two pings
 * @param missedPings a connection on which nothing was heard for so many ping intervals
 * is closed
 * @param handshakeTimeout how long the other end may take to prove that it knows the
 * secret
 * @param maximumFrameBytes size of the largest frame that is accepted
 * @param outboundLimitBytes no frame is taken while more bytes than this wait to be sent
 */
public record PeerSettings(PeerIdentity self, DeploymentSecret secret, Duration pingInterval, int missedPings,
		Duration handshakeTimeout, int maximumFrameBytes, int outboundLimitBytes) {

	private static final Duration DEFAULT_PING_INTERVAL = Duration.ofMillis(500);

	private static final int DEFAULT_MISSED_PINGS = 3;

	private static final Duration DEFAULT_HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

	private static final int DEFAULT_MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024;

	private static final int DEFAULT_OUTBOUND_LIMIT_BYTES = 8 * 1024 * 1024;

	public PeerSettings {
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(secret, "secret");
	}

	/**
	 * Creates settings with the default times and sizes.
	 * @param self who this process is
	 * @param secret the secret of the deployment
	 * @return the settings
	 */
	public static PeerSettings of(PeerIdentity self, DeploymentSecret secret) {
		return new PeerSettings(self, secret, DEFAULT_PING_INTERVAL, DEFAULT_MISSED_PINGS, DEFAULT_HANDSHAKE_TIMEOUT,
				DEFAULT_MAXIMUM_FRAME_BYTES, DEFAULT_OUTBOUND_LIMIT_BYTES);
	}

}
