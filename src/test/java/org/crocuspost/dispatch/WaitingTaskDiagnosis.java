package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.Queue;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;

/**
 * Describes what a dispatcher knows of a task that does not run, and which conditions
 * exclude which workers.
 */
public final class WaitingTaskDiagnosis {

	private WaitingTaskDiagnosis() {
	}

	/**
	 * Describes a task.
	 * @param dispatcher the dispatcher of the leader
	 * @param key the task
	 * @return the description
	 */
	public static String describe(Dispatcher dispatcher, TaskKey key) {
		Optional<JobProgress> job = dispatcher.job(key.job());
		if (job.isEmpty()) {
			return "the job is not known";
		}
		TaskProgress task = job.get().task(key);
		long now = dispatcher.clock().nanoTime();
		List<String> parts = new ArrayList<>();
		parts.add("job " + job.get().state() + ", task " + task.status() + " run " + task.run() + " crashes "
				+ task.crashes() + " crashedRuns " + task.crashedRuns() + " failures " + task.failures());
		if (!task.status().waiting()) {
			HostState host = dispatcher.host(task.host());
			Placement placement = host.placements().get(key);
			parts.add("on " + task.host() + ", " + state(dispatcher, host, now));
			parts.add((placement != null) ? placement.phase() + " since "
					+ (now - placement.phaseSinceNanos()) / 1_000_000 + " ms, listed " + placement.listed()
					: "without a placement");
			return String.join("; ", parts);
		}
		TrackedJob tracked = dispatcher.trackedJobs()
			.stream()
			.filter((candidate) -> candidate.job() == job.get())
			.findFirst()
			.orElseThrow();
		parts
			.add("starving " + tracked.starving(now) + ", deferred " + tracked.deferred() + ", rank " + tracked.rank());
		Optional<Queue> queue = dispatcher.queueOf(job.get());
		Map<String, Integer> reasons = new TreeMap<>();
		for (HostState host : dispatcher.hosts()) {
			if (host.unassignedRuns().containsKey(key)) {
				parts.add("listed by " + host.name() + ", " + state(dispatcher, host, now));
			}
			if (queue.isPresent() && host.worker().getService().equals(queue.get().service())
					|| host.worker().getService().isEmpty()) {
				reasons.merge(exclusion(dispatcher, host, task, now), 1, Integer::sum);
			}
		}
		parts.add("workers " + reasons + ", spare capacity "
				+ queue.filter((found) -> dispatcher.hasSpareCapacity(found.service())).isPresent());
		return String.join("; ", parts);
	}

	private static String exclusion(Dispatcher dispatcher, HostState host, TaskProgress task, long now) {
		if (!dispatcher.schedulable(host)) {
			return state(dispatcher, host, now);
		}
		CandidateHost candidate = new CandidateHost(host, now);
		if (candidate.fits(task.step()) && candidate.admits(task)) {
			double least = task.step().milliCores() * DispatchSettings.MINIMUM_FILLER_SHARE;
			return (task.step().filler() && candidate.freeFillerMilliCores() < least) ? "little left for fillers"
					: host.runsService() ? "room beside services" : "room";
		}
		return candidate.fits(task.step()) ? "probation"
				: (host.freeMemoryMegabytes() < task.step().memoryMegabytes()) ? "no memory" : "no cores";
	}

	private static String state(Dispatcher dispatcher, HostState host, long now) {
		if (!host.connected()) {
			return "not connected";
		}
		if (host.worker().getId().isEmpty()) {
			return "no worker";
		}
		if (!host.workerResponds()) {
			return "silent worker";
		}
		if (!host.available()) {
			return "draining or left";
		}
		if (host.quarantined(now)) {
			return "quarantined";
		}
		if (host.leaseLapsed(dispatcher.settings().leaseTimeout(), now)) {
			return "lease lapsed";
		}
		return dispatcher.schedulable(host) ? "schedulable" : "evacuated";
	}

}
