package org.crocuspost.bench.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Counts broken promises: a worker with more work than it holds, a task on two workers, a
 * task in a failure domain that is out.
 */
final class PromiseCheck {

	private int violations;

	void check(List<BenchWorker> workers, Predicate<String> domainOut) {
		Set<String> seen = new HashSet<>();
		for (BenchWorker worker : workers) {
			if (!worker.reserved().fitsInto(worker.forBatch())) {
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
