package org.crocuspost.release;

import java.util.List;

/**
 * What a release note withdraws.
 *
 * @param services names of services
 * @param jobs names of batch jobs
 * @param quotas teams whose quotas end
 * @param endpoints identities of endpoints that get no new work
 */
public record Withdrawals(List<String> services, List<String> jobs, List<String> quotas, List<String> endpoints) {

	/**
	 * Nothing.
	 */
	public static final Withdrawals NONE = new Withdrawals(List.of(), List.of(), List.of(), List.of());

	public Withdrawals {
		services = List.copyOf(services);
		jobs = List.copyOf(jobs);
		quotas = List.copyOf(quotas);
		endpoints = List.copyOf(endpoints);
	}

	/**
	 * Says whether nothing is withdrawn.
	 * @return true if all parts are empty
	 */
	boolean isEmpty() {
		return this.services.isEmpty() && this.jobs.isEmpty() && this.quotas.isEmpty() && this.endpoints.isEmpty();
	}

}
