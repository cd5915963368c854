package org.crocuspost.distribution;

import java.util.List;
import java.util.Optional;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.json.Json;
import org.crocuspost.wire.ConfigurationUpdate;

/**
 * The part of a configuration that one agent needs, without the version.
 *
 * @param service the service of the agent's endpoint, if the configuration declares it
 * @param endpointWithdrawn whether the agent's endpoint is withdrawn
 * @param domainOut whether the agent's failure domain is taken out of service
 */
record AgentConfigurationPart(Optional<ServiceSpecification> service, boolean endpointWithdrawn, boolean domainOut) {

	static AgentConfigurationPart of(Configuration configuration, String failureDomain, AgentEndpoint endpoint) {
		return new AgentConfigurationPart(Optional.ofNullable(configuration.services().get(endpoint.service())),
				configuration.endpointsWithdrawn().contains(endpoint.endpointId()),
				configuration.domainsOut().contains(failureDomain));
	}

	ConfigurationUpdate.Builder toUpdate(AgentEndpoint endpoint) {
		return ConfigurationUpdate.newBuilder()
			.addAllServices(this.service.map(Json::write).stream().toList())
			.addAllEndpointsWithdrawn(this.endpointWithdrawn ? List.of(endpoint.endpointId()) : List.of())
			.setDomainOut(this.domainOut);
	}

}
