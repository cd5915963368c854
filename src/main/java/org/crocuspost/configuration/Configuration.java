package org.crocuspost.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds everything that the accepted release notes have declared, as one immutable
 * snapshot. Each accepted note leads to a new version; versions only increase.
 *
 * @param version the number of accepted release notes; 0 before the first
 * @param noteId the identifier of the note that led to this version; empty at version 0
 * @param services the services by name
 * @param jobs the batch jobs by name
 * @param endpointsWithdrawn the identifiers of endpoints that get no new work
 * @param domainsOut the failure domains that are out of service
 * @param quotas the quotas by team
 */
public record Configuration(long version, String noteId, Map<String, ServiceSpecification> services,
		Map<String, JobSpecification> jobs, Set<String> endpointsWithdrawn, Set<String> domainsOut,
		Map<String, TeamQuota> quotas) {

	/**
	 * The configuration before the first release note.
	 */
	public static final Configuration EMPTY = new Configuration(0, "", Map.of(), Map.of(), Set.of(), Set.of(),
			Map.of());

	public Configuration {
		services = Map.copyOf(services);
		jobs = Map.copyOf(jobs);
		endpointsWithdrawn = Set.copyOf(endpointsWithdrawn);
		domainsOut = Set.copyOf(domainsOut);
		quotas = Map.copyOf(quotas);
	}

	/**
	 * Finds the service for a request: of the services whose host and path prefix match,
	 * the one with the longest path prefix.
	 * @param host the host of the request without port
	 * @param path the path of the request
	 * @return the service, or empty if no service matches
	 */
	public Optional<ServiceSpecification> findService(String host, String path) {
		return this.services.values()
			.stream()
			.filter((service) -> service.match().matches(host, path))
			.max(java.util.Comparator.comparingInt((service) -> service.match().pathPrefix().length()));
	}

}
