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
 * Judges batch work by what the workers recorded.
 */
final class TaskJudge {

	/**
	 * Time after a failure domain was taken out within which a task may still start.
	 */
	private static final Duration START_BOUND = Duration.ofSeconds(3);

	/**
	 * Work that a planned eviction may lose between the checkpoint and the stop.
	 */
	private static final Duration EVICTION_LOSS_BOUND = Duration.ofSeconds(1);

	private final List<WorkerHost> hosts;

	private final Set<String> checkpointedJobs;

	private final List<RunRecord> records;

	/**
	 * Creates a judge.
	 * @param hosts the workers
	 * @param checkpointedJobs the jobs whose tasks can save their progress
	 * @param records what all workers recorded
	 */
	TaskJudge(Collection<WorkerHost> hosts, Set<String> checkpointedJobs, Collection<RunRecord> records) {
		this.hosts = List.copyOf(hosts);
		this.checkpointedJobs = Set.copyOf(checkpointedJobs);
		this.records = List.copyOf(records);
	}

	List<Finding> findings(DomainOutage outage) {
		return List.of(oneRunner(), doneOnce(), noWorkLost(), withinCapacity(), noStartWhileOut(outage));
	}

	private Finding oneRunner() {
		long overlaps = 0;
		for (List<RunRecord> runs : byTask().values()) {
			overlaps += pairs(runs);
		}
		return Finding.of("a task never runs in two places at once", overlaps, this.records.size() + " attempts");
	}

	private static long pairs(List<RunRecord> runs) {
		long overlaps = 0;
		for (int left = 0; left < runs.size(); left++) {
			for (int right = left + 1; right < runs.size(); right++) {
				overlaps += runs.get(left).overlaps(runs.get(right)) ? 1 : 0;
			}
		}
		return overlaps;
	}

	private Finding doneOnce() {
		long doubled = byTask().values().stream().filter((runs) -> succeeded(runs) > 1).count();
		return Finding.of("a task is done at most once", doubled, byTask().size() + " tasks");
	}

	private static long succeeded(List<RunRecord> runs) {
		return runs.stream().filter((run) -> run.phase() == Phase.SUCCEEDED).count();
	}

	private Finding noWorkLost() {
		long lost = 0;
		long resumed = 0;
		for (List<RunRecord> runs : byTask().values()) {
			if (this.checkpointedJobs.contains(runs.get(0).job())) {
				lost += resumedBehind(runs);
				resumed += runs.size() - 1;
			}
		}
		return Finding.of("evicted work resumes from its checkpoint", lost, resumed + " resumed");
	}

	// Counts attempts that began with less progress than the one before had reached. The
	// tour loses no worker, so every eviction ends with a checkpoint.
	private static long resumedBehind(List<RunRecord> runs) {
		List<RunRecord> ordered = runs.stream().sorted(Comparator.comparing(RunRecord::started)).toList();
		long behind = 0;
		for (int next = 1; next < ordered.size(); next++) {
			Duration allowed = ordered.get(next - 1).progress().minus(EVICTION_LOSS_BOUND);
			behind += (ordered.get(next).startProgress().compareTo(allowed) < 0) ? 1 : 0;
		}
		return behind;
	}

	private Finding withinCapacity() {
		long overfull = 0;
		for (WorkerHost host : this.hosts) {
			List<RunRecord> runs = runsOn(host);
			Resources room = host.capacity().minus(host.reservedForService());
			overfull += runs.stream().filter((run) -> !usedAt(run.started(), runs).fitsInto(room)).count();
		}
		return Finding.of("no worker gets more than it can hold", overfull, this.hosts.size() + " workers");
	}

	private static Resources usedAt(Instant moment, List<RunRecord> runs) {
		return runs.stream()
			.filter((run) -> !run.started().isAfter(moment) && run.ended().isAfter(moment))
			.map(RunRecord::resources)
			.reduce(Resources.NONE, Resources::plus);
	}

	private Finding noStartWhileOut(DomainOutage outage) {
		Instant bound = outage.outAt().plus(START_BOUND);
		long starts = this.hosts.stream()
			.filter((host) -> host.failureDomain().equals(outage.failureDomain()))
			.flatMap((host) -> runsOn(host).stream())
			.filter((run) -> run.started().isAfter(bound) && run.started().isBefore(outage.backAt()))
			.count();
		return Finding.of("no task starts in a failure domain that is out", starts,
				"out for " + Duration.between(outage.outAt(), outage.backAt()).toSeconds() + " s");
	}

	private List<RunRecord> runsOn(WorkerHost host) {
		return this.records.stream().filter((run) -> run.worker().equals(host.name())).toList();
	}

	private Map<String, List<RunRecord>> byTask() {
		return this.records.stream().collect(Collectors.groupingBy((run) -> run.attempt().taskId()));
	}

}
