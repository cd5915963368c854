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
 * Admits the workers of a returning failure domain one after the other, so that not all
 * waiting tasks start there at once while its services warm up.
 */
final class DomainRamp {

	static final Duration RAMP = Duration.ofSeconds(20);

	private final Clock clock;

	private final Set<String> out = new HashSet<>();

	private final Map<String, Stopwatch> returned = new HashMap<>();

	DomainRamp(Clock clock) {
		this.clock = clock;
	}

	void observe(Set<String> domainsOut) {
		for (String domain : Set.copyOf(this.out)) {
			if (!domainsOut.contains(domain)) {
				this.returned.put(domain, Stopwatch.start(this.clock));
			}
		}
		this.out.clear();
		this.out.addAll(domainsOut);
		this.returned.keySet().removeAll(domainsOut);
		this.returned.values().removeIf((since) -> since.observerElapsed().compareTo(RAMP) >= 0);
	}

	List<WorkerState> admitted(String domain, List<WorkerState> workers) {
		Stopwatch since = this.returned.get(domain);
		if (since == null) {
			return workers;
		}
		double share = (double) since.observerElapsed().toNanos() / RAMP.toNanos();
		long count = Math.max(1, Math.round(share * workers.size()));
		return workers.stream().sorted(Comparator.comparing(WorkerState::worker)).limit(count).toList();
	}

}
