package org.crocuspost.retry;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.http.HttpCall;

/**
 * A caller's request on its way to an endpoint.
 *
 * @param requestId the identity, which this entry drew
 * @param service the service
 * @param call the request
 * @param idempotencyKey the caller's key; empty if there is none
 * @param timeout the time that the request was given when it arrived
 * @param deadlineNanos the deadline on the monotonic clock
 */
public record RoutedRequest(String requestId, ServiceSpecification service, HttpCall call, String idempotencyKey,
		Duration timeout, long deadlineNanos) {

	public RoutedRequest {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

	/**
	 * Says whether the request may run more than once.
	 * @return true if its method is idempotent for the service
	 */
	public boolean idempotent() {
		return this.service.isIdempotent(this.call.method());
	}

}
