package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.crocuspost.job.StepSpecification;

/**
 * Tells which fillers need workers without services, from the services that run now. The
 * answer for an image is kept for a short time, since every waiting job is asked for in
 * every scheduling pass.
 */
final class FreeWorkerNeeds {

	private static final Duration VALIDITY = Duration.ofMillis(500);

	private final PlacementPolicy policy;

	private final Map<String, Map<String, Boolean>> answers = new HashMap<>();

	private final Map<String, List<HostState>> hosts = new HashMap<>();

	private final Map<String, Long> sinceNanos = new HashMap<>();

	FreeWorkerNeeds(PlacementPolicy policy) {
		this.policy = policy;
	}

	/**
	 * Updates the hosts of a service.
	 * @param service the service
	 * @param candidates the hosts whose workers accept tasks of the service
	 * @param nowNanos the current time
	 */
	void observe(String service, Collection<CandidateHost> candidates, long nowNanos) {
		Long since = this.sinceNanos.get(service);
		if (since != null && nowNanos - since < VALIDITY.toNanos()) {
			return;
		}
		this.sinceNanos.put(service, nowNanos);
		this.hosts.put(service, candidates.stream().map(CandidateHost::host).toList());
		this.answers.put(service, new HashMap<>());
	}

	/**
	 * Returns whether fillers need workers without services.
	 * @param service the service whose workers the fillers may use
	 * @param step the step of the fillers
	 * @return true if hardly any worker with services suits them
	 */
	boolean test(String service, StepSpecification step) {
		List<HostState> known = this.hosts.get(service);
		return known != null && step.filler() && this.answers.get(service)
			.computeIfAbsent(step.image(), (image) -> this.policy.needsFreeWorker(step, known));
	}

}
