package org.crocuspost.routing;

import java.util.List;

/**
 * Chooses the endpoint for an attempt of a request.
 */
@FunctionalInterface
public interface RoutingPolicy {

	/**
	 * Chooses an endpoint.
	 * @param candidates the endpoints that accept work and have free capacity; not empty
	 * @return one of the candidates
	 */
	RoutedEndpoint choose(List<RoutedEndpoint> candidates);

}
