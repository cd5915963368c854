package org.crocuspost.release;

import java.util.List;

/**
 * Lists the items that a release note withdraws.
 *
 * @param services the names of services
 * @param jobs the names of batch jobs
 * @param quotas the teams whose quotas are removed
 * @param endpoints the identifiers of endpoints that get no new work
 */
public record Withdrawals(List<String> services, List<String> jobs, List<String> quotas, List<String> endpoints) {

	/**
	 * Withdraws nothing.
	 */
	public static final Withdrawals NONE = new Withdrawals(List.of(), List.of(), List.of(), List.of());

	public Withdrawals {
		services = List.copyOf(services);
		jobs = List.copyOf(jobs);
		quotas = List.copyOf(quotas);
		endpoints = List.copyOf(endpoints);
	}

	/**
	 * Returns whether nothing is withdrawn.
	 * @return true if all lists are empty
	 */
	boolean isEmpty() {
		return this.services.isEmpty() && this.jobs.isEmpty() && this.quotas.isEmpty() && this.endpoints.isEmpty();
	}

}
