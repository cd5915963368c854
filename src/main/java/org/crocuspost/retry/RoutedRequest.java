package org.crocuspost.retry;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.http.HttpRequest;

/**
 * A caller's request that is to be sent to an endpoint.
 *
 * @param requestId the identifier that this entry generated
 * @param service the service that the request addresses
 * @param call the HTTP request
 * @param idempotencyKey the caller's key; empty if there is none
 * @param timeout the time allowed for the request when it arrived
 * @param deadlineNanos the deadline in nanoseconds on the monotonic clock
 */
public record RoutedRequest(String requestId, ServiceSpecification service, HttpRequest call, String idempotencyKey,
		Duration timeout, long deadlineNanos) {

	public RoutedRequest {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

	/**
	 * Returns whether the request may run more than once.
	 * @return true if its method is idempotent for the service
	 */
	public boolean idempotent() {
		return this.service.isIdempotent(this.call.method());
	}

}
