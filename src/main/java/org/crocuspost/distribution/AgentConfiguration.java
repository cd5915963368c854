package org.crocuspost.distribution;

import java.util.List;
import java.util.Set;

import org.crocuspost.configuration.ServiceSpecification;

/**
 * The part of the configuration that concerns one agent.
 *
 * @param version the version of the configuration
 * @param services the services of the agent's endpoints
 * @param endpointsWithdrawn those of the agent's endpoints that receive no new work
 * @param domainOut whether the agent's failure domain is taken out of service
 */
public record AgentConfiguration(long version, List<ServiceSpecification> services, Set<String> endpointsWithdrawn,
		boolean domainOut) {

	/**
	 * The configuration of an agent that has not received any update.
	 */
	public static final AgentConfiguration NONE = new AgentConfiguration(0, List.of(), Set.of(), false);

	public AgentConfiguration {
		services = List.copyOf(services);
		endpointsWithdrawn = Set.copyOf(endpointsWithdrawn);
	}

	AgentConfiguration withVersion(long newVersion) {
		return new AgentConfiguration(newVersion, this.services, this.endpointsWithdrawn, this.domainOut);
	}

}
