package org.crocuspost.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.bench.batch.VirtualWorker;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.standin.worker.RunRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the runs of a deployment that the worker runtimes recorded.
 */
final class RunAssertions {

	private final BatchDeployment deployment;

	private final List<RunRecord> history;

	RunAssertions(BatchDeployment deployment) {
		this.deployment = deployment;
		this.history = deployment.history();
	}

	RunAssertions isSafe() {
		return neverRunsTwiceAtOnce().completesAtMostOnce(Set.of()).neverExceedsCapacity();
	}

	RunAssertions neverRunsTwiceAtOnce() {
		byTask().forEach((task, runs) -> {
			for (int index = 1; index < runs.size(); index++) {
				assertThat(runs.get(index).overlaps(runs.get(index - 1)))
					.as("%s runs twice: %s and %s", task, runs.get(index - 1), runs.get(index))
					.isFalse();
			}
		});
		return this;
	}

	/**
	 * Checks that no task completes twice, leaving out the results of workers that may
	 * not have reached a scheduler.
	 */
	RunAssertions completesAtMostOnce(Set<String> unreachableWorkers) {
		byTask().forEach(
				(task, runs) -> assertThat(succeeded(runs, unreachableWorkers)).as("completions of %s: %s", task, runs)
					.isLessThan(2));
		return this;
	}

	RunAssertions hasCompleted(String job, int count) {
		long completedTasks = this.history.stream()
			.filter((run) -> run.job().equals(job) && run.phase() == Phase.SUCCEEDED)
			.map((run) -> run.attempt().taskId())
			.distinct()
			.count();
		assertThat(completedTasks).as("completed tasks of %s", job).isEqualTo(count);
		return this;
	}

	RunAssertions neverExceedsCapacity() {
		for (VirtualWorker worker : this.deployment.workers()) {
			List<RunRecord> runs = worker.runtime().history();
			for (RunRecord startedRun : runs) {
				Resources total = runs.stream()
					.filter((run) -> !run.started().isAfter(startedRun.started())
							&& run.ended().isAfter(startedRun.started()))
					.map(RunRecord::resources)
					.reduce(Resources.NONE, Resources::plus);
				assertThat(total.fitsInto(worker.capacity()))
					.as("%s holds %s at %s", worker.name(), total, startedRun.started())
					.isTrue();
			}
		}
		return this;
	}

	RunAssertions startsNothingIn(String domain, Instant from, Instant to) {
		List<RunRecord> starts = this.history.stream()
			.filter((run) -> this.deployment.worker(run.worker()).domain().equals(domain))
			.filter((run) -> run.started().isAfter(from) && run.started().isBefore(to))
			.toList();
		assertThat(starts).as("starts in %s while it is out of service", domain).isEmpty();
		return this;
	}

	RunAssertions losesAtMost(Duration work) {
		byTask().forEach((task, runs) -> {
			for (int index = 1; index < runs.size(); index++) {
				Duration lost = runs.get(index - 1).progress().minus(runs.get(index).startProgress());
				assertThat(lost).as("work lost by %s", task).isLessThanOrEqualTo(work);
			}
		});
		return this;
	}

	long runs(String job) {
		return this.history.stream().filter((run) -> run.job().equals(job)).count();
	}

	long runningIn(String domain) {
		return this.history.stream()
			.filter((run) -> run.phase() == Phase.RUNNING)
			.filter((run) -> this.deployment.worker(run.worker()).domain().equals(domain))
			.count();
	}

	private static long succeeded(List<RunRecord> runs, Set<String> unreachableWorkers) {
		return runs.stream()
			.filter((run) -> run.phase() == Phase.SUCCEEDED && !unreachableWorkers.contains(run.worker()))
			.count();
	}

	private Map<String, List<RunRecord>> byTask() {
		Map<String, List<RunRecord>> runs = this.history.stream()
			.collect(Collectors.groupingBy((run) -> run.attempt().taskId(), Collectors.toCollection(ArrayList::new)));
		runs.values().forEach((list) -> list.sort(Comparator.comparing(RunRecord::started)));
		return runs;
	}

}
