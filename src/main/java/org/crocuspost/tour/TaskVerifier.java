package org.crocuspost.tour;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;
import org.crocuspost.standin.worker.RunRecord;

/**
 * Checks the guarantees for batch tasks against the attempts that the workers recorded.
 */
final class TaskVerifier {

	/**
	 * Time after a failure domain was taken out of service during which a task may still
	 * start there.
	 */
	private static final Duration START_GRACE_PERIOD = Duration.ofSeconds(3);

	/**
	 * Maximum progress that a planned eviction may lose between the checkpoint and the
	 * stop.
	 */
	private static final Duration MAXIMUM_EVICTION_LOSS = Duration.ofSeconds(1);

	private final List<WorkerHost> hosts;

	private final Set<String> checkpointedJobs;

	private final List<RunRecord> records;

	/**
	 * Creates a verifier.
	 * @param hosts the workers
	 * @param checkpointedJobs the names of the jobs whose tasks write checkpoints
	 * @param records the attempts that all workers recorded
	 */
	TaskVerifier(Collection<WorkerHost> hosts, Set<String> checkpointedJobs, Collection<RunRecord> records) {
		this.hosts = List.copyOf(hosts);
		this.checkpointedJobs = Set.copyOf(checkpointedJobs);
		this.records = List.copyOf(records);
	}

	List<Finding> verify(DomainOutage outage) {
		return List.of(checkNoConcurrentAttempts(), checkSucceedsAtMostOnce(), checkResumesFromCheckpoint(),
				checkWorkerCapacity(), checkNoStartDuringOutage(outage));
	}

	private Finding checkNoConcurrentAttempts() {
		long overlaps = 0;
		for (List<RunRecord> runs : runsByTask().values()) {
			overlaps += countOverlappingPairs(runs);
		}
		return Finding.of("a task never runs in two places at once", overlaps, this.records.size() + " attempts");
	}

	private static long countOverlappingPairs(List<RunRecord> runs) {
		long overlaps = 0;
		for (int first = 0; first < runs.size(); first++) {
			for (int second = first + 1; second < runs.size(); second++) {
				overlaps += runs.get(first).overlaps(runs.get(second)) ? 1 : 0;
			}
		}
		return overlaps;
	}

	private Finding checkSucceedsAtMostOnce() {
		long repeated = runsByTask().values().stream().filter((runs) -> countSucceeded(runs) > 1).count();
		return Finding.of("a task succeeds at most once", repeated, runsByTask().size() + " tasks");
	}

	private static long countSucceeded(List<RunRecord> runs) {
		return runs.stream().filter((run) -> run.phase() == Phase.SUCCEEDED).count();
	}

	private Finding checkResumesFromCheckpoint() {
		long lost = 0;
		long resumed = 0;
		for (List<RunRecord> runs : runsByTask().values()) {
			if (this.checkpointedJobs.contains(runs.get(0).job())) {
				lost += countLostProgress(runs);
				resumed += runs.size() - 1;
			}
		}
		return Finding.of("an evicted task resumes from its checkpoint", lost, resumed + " resumed");
	}

	// Counts attempts that started with less progress than the previous attempt had
	// reached.
	// No worker fails during the tour, so every eviction ends with a checkpoint.
	private static long countLostProgress(List<RunRecord> runs) {
		List<RunRecord> ordered = runs.stream().sorted(Comparator.comparing(RunRecord::started)).toList();
		long lost = 0;
		for (int next = 1; next < ordered.size(); next++) {
			Duration allowed = ordered.get(next - 1).progress().minus(MAXIMUM_EVICTION_LOSS);
			lost += (ordered.get(next).startProgress().compareTo(allowed) < 0) ? 1 : 0;
		}
		return lost;
	}

	private Finding checkWorkerCapacity() {
		long overallocated = 0;
		for (WorkerHost host : this.hosts) {
			List<RunRecord> runs = runsOn(host);
			Resources available = host.capacity().minus(host.reservedForService());
			overallocated += runs.stream()
				.filter((run) -> !resourcesInUse(run.started(), runs).fitsInto(available))
				.count();
		}
		return Finding.of("no worker is allocated more than its capacity", overallocated,
				this.hosts.size() + " workers");
	}

	private static Resources resourcesInUse(Instant moment, List<RunRecord> runs) {
		return runs.stream()
			.filter((run) -> !run.started().isAfter(moment) && run.ended().isAfter(moment))
			.map(RunRecord::resources)
			.reduce(Resources.NONE, Resources::plus);
	}

	private Finding checkNoStartDuringOutage(DomainOutage outage) {
		Instant deadline = outage.outAt().plus(START_GRACE_PERIOD);
		long starts = this.hosts.stream()
			.filter((host) -> host.failureDomain().equals(outage.failureDomain()))
			.flatMap((host) -> runsOn(host).stream())
			.filter((run) -> run.started().isAfter(deadline) && run.started().isBefore(outage.backAt()))
			.count();
		return Finding.of("no task starts in a failure domain out of service", starts,
				"out of service for " + Duration.between(outage.outAt(), outage.backAt()).toSeconds() + " s");
	}

	private List<RunRecord> runsOn(WorkerHost host) {
		return this.records.stream().filter((run) -> run.worker().equals(host.name())).toList();
	}

	private Map<String, List<RunRecord>> runsByTask() {
		return this.records.stream().collect(Collectors.groupingBy((run) -> run.attempt().taskId()));
	}

}
