package org.crocuspost.routing;

import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;

/**
 * Admits a request at the entry and selects the endpoint for an attempt. A request for
 * which no endpoint has room is refused here, without a message to an agent.
 */
public final class EndpointSelector {

	private final EndpointDirectory directory;

	private final RoutingPolicy policy;

	/**
	 * Creates a selector.
	 * @param directory the endpoints
	 * @param policy chooses among those that have room
	 */
	public EndpointSelector(EndpointDirectory directory, RoutingPolicy policy) {
		this.directory = directory;
		this.policy = policy;
	}

	/**
	 * Selects an endpoint, one that was not tried yet if there is one.
	 * @param service the service
	 * @param tried the endpoints to which the request was sent before
	 * @return the endpoint; {@code NO_ENDPOINT} if none accepts work, {@code OVERLOADED}
	 * if none has room
	 */
	public Either<Failure, RoutedEndpoint> select(ServiceSpecification service, List<RoutedEndpoint> tried) {
		List<RoutedEndpoint> candidates = this.directory.candidates(service.name());
		if (candidates.isEmpty()) {
			return Either.left(ErrorCode.NO_ENDPOINT.with(service.name()));
		}
		List<RoutedEndpoint> withRoom = candidates.stream()
			.filter((endpoint) -> endpoint.hasRoom(service.priority()))
			.toList();
		if (withRoom.isEmpty()) {
			return Either.left(ErrorCode.OVERLOADED.with(service.name()));
		}
		return Either.right(this.policy.choose(untried(withRoom, tried)));
	}

	private static List<RoutedEndpoint> untried(List<RoutedEndpoint> endpoints, List<RoutedEndpoint> tried) {
		if (tried.isEmpty()) {
			return endpoints;
		}
		List<RoutedEndpoint> rest = endpoints.stream().filter((endpoint) -> !tried.contains(endpoint)).toList();
		return rest.isEmpty() ? endpoints : rest;
	}

}
