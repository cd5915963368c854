package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.crocuspost.interference.EvictionBudget;
import org.crocuspost.time.Clock;

/**
 * Limits the rate of the evictions that agents request, per worker and for the whole
 * fleet, so that many disturbing tasks at once do not cause as many evictions at once.
 * Evictions in favor of urgent tasks, evictions from a failure domain that is out of
 * service and cancellations of the tasks of a withdrawn job are not limited.
 */
final class EvictionBudgets {

	private static final Duration WORKER_INTERVAL = Duration.ofSeconds(30);

	private static final int WORKER_BURST = 2;

	private static final Duration FLEET_INTERVAL = Duration.ofMillis(500);

	private static final int FLEET_BURST = 20;

	private final Clock clock;

	private final EvictionBudget fleet;

	private final Map<String, EvictionBudget> workers = new HashMap<>();

	EvictionBudgets(Clock clock) {
		this.clock = clock;
		this.fleet = new EvictionBudget(clock, FLEET_INTERVAL, FLEET_BURST);
	}

	boolean tryAcquire(String worker) {
		EvictionBudget budget = this.workers.computeIfAbsent(worker,
				(name) -> new EvictionBudget(this.clock, WORKER_INTERVAL, WORKER_BURST));
		return budget.tryAcquire() && this.fleet.tryAcquire();
	}

}
