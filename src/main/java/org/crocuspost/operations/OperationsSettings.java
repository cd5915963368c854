package org.crocuspost.operations;

import java.net.InetSocketAddress;

import org.crocuspost.settings.Secret;

/**
 * Settings of the operators' interface.
 *
 * @param address where to listen; port 0 for any free port
 * @param token the bearer token
 * @param maximumNoteBytes the largest release note
 * @param requestsPerSecond the most requests a second, with a burst of twice as many
 */
public record OperationsSettings(InetSocketAddress address, Secret token, int maximumNoteBytes, int requestsPerSecond) {

	/**
	 * Requests a second unless the settings say otherwise.
	 */
	public static final int DEFAULT_REQUESTS_PER_SECOND = 50;

}
