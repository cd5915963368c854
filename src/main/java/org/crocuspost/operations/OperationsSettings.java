package org.crocuspost.operations;

import java.net.InetSocketAddress;

import org.crocuspost.settings.Secret;

/**
 * Settings of the operators' HTTP interface.
 *
 * @param address the address to bind; port 0 for any free port
 * @param token the bearer token
 * @param maximumNoteBytes the maximum size of a release note in bytes
 * @param requestsPerSecond the maximum rate of requests per second; bursts of twice as
 * many are allowed
 */
public record OperationsSettings(InetSocketAddress address, Secret token, int maximumNoteBytes, int requestsPerSecond) {

	/**
	 * Default of the maximum rate of requests per second.
	 */
	public static final int DEFAULT_REQUESTS_PER_SECOND = 50;

}
