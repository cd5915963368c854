package org.crocuspost.release;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.configuration.TeamQuota;

/**
 * Holds the content of the section {@code added} or {@code changed} of a release note.
 *
 * @param services the services by name
 * @param jobs the batch jobs by name
 * @param quotas the quotas by team
 * @param endpoints the identifiers of withdrawn endpoints that may get work again
 */
public record Declarations(SortedMap<String, ServiceSpecification> services, SortedMap<String, JobSpecification> jobs,
		SortedMap<String, TeamQuota> quotas, List<String> endpoints) {

	/**
	 * Declares nothing.
	 */
	public static final Declarations NONE = new Declarations(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(),
			List.of());

	public Declarations {
		services = new TreeMap<>(services);
		jobs = new TreeMap<>(jobs);
		quotas = new TreeMap<>(quotas);
		endpoints = List.copyOf(endpoints);
	}

	/**
	 * Returns whether nothing is declared.
	 * @return true if all components are empty
	 */
	boolean isEmpty() {
		return this.services.isEmpty() && this.jobs.isEmpty() && this.quotas.isEmpty() && this.endpoints.isEmpty();
	}

}
