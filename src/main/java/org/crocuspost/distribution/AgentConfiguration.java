package org.crocuspost.distribution;

import java.util.List;
import java.util.Set;

import org.crocuspost.configuration.ServiceSpecification;

/**
 * The part of the configuration that concerns one agent.
 *
 * @param version the version of the configuration
 * @param services the services of the agent's endpoints
 * @param endpointsWithdrawn those of the agent's endpoints that get no new work
 * @param domainOut whether the agent's failure domain is taken out
 */
public record AgentConfiguration(long version, List<ServiceSpecification> services, Set<String> endpointsWithdrawn,
		boolean domainOut) {

	/**
	 * What an agent knows before an entry has told it anything.
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
