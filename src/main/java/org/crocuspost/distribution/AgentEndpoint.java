package org.crocuspost.distribution;

import java.util.Objects;

/**
 * What an agent serves.
 *
 * @param service the name of the service; empty if there is no endpoint beside the agent
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
