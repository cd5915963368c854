package org.crocuspost.distribution;

import java.util.Objects;

/**
 * Service and endpoint of an agent.
 *
 * @param service the name of the service; empty if the agent has no endpoint
 * @param endpointId the identity of the endpoint; empty if there is none
 */
public record AgentEndpoint(String service, String endpointId) {

	/**
	 * An agent without an endpoint.
	 */
	public static final AgentEndpoint NONE = new AgentEndpoint("", "");

	public AgentEndpoint {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(endpointId, "endpointId");
	}

}
