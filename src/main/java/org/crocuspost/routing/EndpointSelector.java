package org.crocuspost.routing;

import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;

/**
 * Performs admission control at the entry and selects the endpoint for an attempt. A
 * request for which no endpoint has free capacity is refused here, without a message to
 * an agent.
 */
public final class EndpointSelector {

	private final EndpointDirectory directory;

	private final RoutingPolicy policy;

	/**
	 * Creates a selector.
	 * @param directory the directory of endpoints
	 * @param policy chooses among the endpoints that have free capacity
	 */
	public EndpointSelector(EndpointDirectory directory, RoutingPolicy policy) {
		this.directory = directory;
		this.policy = policy;
	}

	/**
	 * Selects an endpoint, preferring those that were not tried yet.
	 * @param service the service
	 * @param tried the endpoints to which earlier attempts of the request were sent
	 * @return the endpoint; {@code NO_ENDPOINT} if none accepts work, {@code OVERLOADED}
	 * if none has free capacity
	 */
	public Either<Failure, RoutedEndpoint> select(ServiceSpecification service, List<RoutedEndpoint> tried) {
		List<RoutedEndpoint> candidates = this.directory.candidates(service.name());
		if (candidates.isEmpty()) {
			return Either.left(ErrorCode.NO_ENDPOINT.with(service.name()));
		}
		List<RoutedEndpoint> withCapacity = candidates.stream()
			.filter((endpoint) -> endpoint.hasFreeCapacity(service.priority()))
			.toList();
		if (withCapacity.isEmpty()) {
			return Either.left(ErrorCode.OVERLOADED.with(service.name()));
		}
		return Either.right(this.policy.choose(untried(withCapacity, tried)));
	}

	private static List<RoutedEndpoint> untried(List<RoutedEndpoint> endpoints, List<RoutedEndpoint> tried) {
		if (tried.isEmpty()) {
			return endpoints;
		}
		List<RoutedEndpoint> remaining = endpoints.stream().filter((endpoint) -> !tried.contains(endpoint)).toList();
		return remaining.isEmpty() ? endpoints : remaining;
	}

}
