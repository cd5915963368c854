package org.crocuspost.admission;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the admission control of one endpoint.
 *
 * @param endpointId the identifier of the endpoint
 * @param service the name of the service that the endpoint provides
 * @param endpoint the scheme, host and port of the endpoint
 * @param worker the name of the worker on which the endpoint runs
 * @param rack the rack of the worker
 * @param slots the maximum number of requests that run on the endpoint concurrently
 * @param connections the maximum number of connections to the endpoint; at least the
 * number of slots
 * @param queueLimit the maximum number of requests that wait for a slot
 * @param limits the time and size limits
 */
public record AdmissionSettings(String endpointId, String service, URI endpoint, String worker, String rack, int slots,
		int connections, int queueLimit, AdmissionLimits limits) {

	public AdmissionSettings {
		Objects.requireNonNull(endpointId, "endpointId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(endpoint, "endpoint");
		if (slots < 1 || connections < slots || queueLimit < 0) {
			throw new IllegalArgumentException(
					"slots must be positive, connections at least slots, and queueLimit not negative");
		}
	}

	/**
	 * Creates settings with the default limits and a queue limit of twice the number of
	 * slots.
	 * @param endpointId the identifier of the endpoint
	 * @param service the name of the service that the endpoint provides
	 * @param endpoint the scheme, host and port of the endpoint
	 * @param slots the maximum number of requests that run concurrently
	 * @param connections the maximum number of connections
	 * @return the settings
	 */
	public static AdmissionSettings of(String endpointId, String service, URI endpoint, int slots, int connections) {
		return new AdmissionSettings(endpointId, service, endpoint, endpointId, "", slots, connections, 2 * slots,
				AdmissionLimits.DEFAULT);
	}

	/**
	 * Time and size limits of the admission control.
	 *
	 * @param linger how long an exchange with the endpoint may continue past its deadline
	 * before its connection is closed; it occupies its slot until then
	 * @param answerRetention how long answers are retained so that entries can fetch them
	 * after the deadline or a lost connection
	 * @param answerBytes the maximum number of bytes of retained answers
	 * @param recordRetention how long the status of attempts, without the answer, and the
	 * claims of idempotency keys are retained
	 * @param maximumBodyBytes the maximum body size of an answer in bytes
	 * @param heartbeat the interval between two announcements of the endpoint status
	 */
	public record AdmissionLimits(Duration linger, Duration answerRetention, long answerBytes, Duration recordRetention,
			int maximumBodyBytes, Duration heartbeat) {

		/**
		 * The default limits.
		 */
		public static final AdmissionLimits DEFAULT = new AdmissionLimits(Duration.ofSeconds(5), Duration.ofSeconds(30),
				16 * 1024 * 1024, Duration.ofMinutes(2), 1024 * 1024, Duration.ofSeconds(1));

	}

}
