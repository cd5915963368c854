package org.crocuspost.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Everything that release notes have declared, as one immutable snapshot. Versions only
 * rise.
 *
 * @param version the number of accepted notes; 0 before the first
 * @param noteId the identity of the note that led to this version; empty at version 0
 * @param services the services by name
 * @param jobs the batch jobs by name
 * @param endpointsWithdrawn identities of endpoints that get no new work
 * @param domainsOut failure domains that are taken out
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
	 * Finds the service for a request: the one whose host is equal and whose path prefix
	 * is the longest that matches.
	 * @param host the host of the request without port
	 * @param path the path of the request
	 * @return the service, or empty if none matches
	 */
	public Optional<ServiceSpecification> findService(String host, String path) {
		return this.services.values()
			.stream()
			.filter((service) -> service.match().matches(host, path))
			.max(java.util.Comparator.comparingInt((service) -> service.match().pathPrefix().length()));
	}

}
