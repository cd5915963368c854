package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Admits the workers of a failure domain that has returned to service one after the
 * other, so that not all waiting tasks start there at once while its services warm up.
 */
final class DomainRampUp {

	static final Duration RAMP_UP_TIME = Duration.ofSeconds(20);

	private final Clock clock;

	private final Set<String> outOfService = new HashSet<>();

	private final Map<String, Stopwatch> sinceReturn = new HashMap<>();

	DomainRampUp(Clock clock) {
		this.clock = clock;
	}

	void update(Set<String> domainsOut) {
		for (String domain : Set.copyOf(this.outOfService)) {
			if (!domainsOut.contains(domain)) {
				this.sinceReturn.put(domain, Stopwatch.start(this.clock));
			}
		}
		this.outOfService.clear();
		this.outOfService.addAll(domainsOut);
		this.sinceReturn.keySet().removeAll(domainsOut);
		this.sinceReturn.values().removeIf((stopwatch) -> stopwatch.observerElapsed().compareTo(RAMP_UP_TIME) >= 0);
	}

	List<WorkerState> admittedWorkers(String domain, List<WorkerState> workers) {
		Stopwatch stopwatch = this.sinceReturn.get(domain);
		if (stopwatch == null) {
			return workers;
		}
		double admittedShare = (double) stopwatch.observerElapsed().toNanos() / RAMP_UP_TIME.toNanos();
		long count = Math.max(1, Math.round(admittedShare * workers.size()));
		return workers.stream().sorted(Comparator.comparing(WorkerState::worker)).limit(count).toList();
	}

}
