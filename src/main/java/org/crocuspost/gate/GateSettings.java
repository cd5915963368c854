package org.crocuspost.gate;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the gate before one endpoint.
 *
 * @param endpointId the identity of the endpoint
 * @param service the service that the endpoint offers
 * @param endpoint scheme, host and port of the endpoint
 * @param worker the worker on which the endpoint runs
 * @param rack the rack of the worker
 * @param slots the most requests that run on the endpoint at the same time
 * @param connections the most connections to the endpoint
 * @param queueLimit the most requests that wait for a slot
 * @param limits times and sizes
 */
public record GateSettings(String endpointId, String service, URI endpoint, String worker, String rack, int slots,
		int connections, int queueLimit, GateLimits limits) {

	public GateSettings {
		Objects.requireNonNull(endpointId, "endpointId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(endpoint, "endpoint");
		if (slots < 1 || connections < slots || queueLimit < 0) {
			throw new IllegalArgumentException("slots must be positive, connections at least the slots");
		}
	}

	/**
	 * Creates settings with the default limits and a queue of twice the slots.
	 * @param endpointId the identity of the endpoint
	 * @param service the service that the endpoint offers
	 * @param endpoint scheme, host and port of the endpoint
	 * @param slots the most requests that run at the same time
	 * @param connections the most connections
	 * @return the settings
	 */
	public static GateSettings of(String endpointId, String service, URI endpoint, int slots, int connections) {
		return new GateSettings(endpointId, service, endpoint, endpointId, "", slots, connections, 2 * slots,
				GateLimits.DEFAULT);
	}

	/**
	 * Times and sizes of a gate.
	 *
	 * @param linger how long past its deadline an exchange with the endpoint may go on
	 * before its connection is closed; its slot stays taken
	 * @param answerRetention how long answers are kept so that they can be fetched late
	 * @param answerBytes the most bytes of answers that are kept
	 * @param factRetention how long fates and claims of idempotency keys are kept without
	 * the answer
	 * @param maximumBodyBytes the largest answer that is accepted
	 * @param heartbeat the time between two announcements
	 */
	public record GateLimits(Duration linger, Duration answerRetention, long answerBytes, Duration factRetention,
			int maximumBodyBytes, Duration heartbeat) {

		/**
		 * The limits for ordinary use.
		 */
		public static final GateLimits DEFAULT = new GateLimits(Duration.ofSeconds(5), Duration.ofSeconds(30),
				16 * 1024 * 1024, Duration.ofMinutes(2), 1024 * 1024, Duration.ofSeconds(1));

	}

}
