package org.crocuspost.bench.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Counts violations of the scheduling invariants. The reservations of a worker never
 * exceed its batch capacity, a task is on one worker only, and no task is in a failure
 * domain that is out of service.
 */
final class InvariantCheck {

	private int violations;

	void check(List<BenchWorker> workers, Predicate<String> domainOut) {
		Set<String> seen = new HashSet<>();
		for (BenchWorker worker : workers) {
			if (!worker.reserved().fitsInto(worker.batchCapacity())) {
				this.violations++;
			}
			if (domainOut.test(worker.domain()) && !worker.tasks().isEmpty()) {
				this.violations++;
			}
			for (BenchTask task : worker.tasks()) {
				if (!seen.add(task.id()) || task.worker() != worker) {
					this.violations++;
				}
			}
		}
	}

	int violations() {
		return this.violations;
	}

}
