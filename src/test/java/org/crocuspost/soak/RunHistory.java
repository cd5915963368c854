package org.crocuspost.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.crocuspost.job.TaskKey;

/**
 * Records the runs on all workers and checks the guarantees that can be checked as the
 * runs start and end. Safe for use by several threads.
 */
final class RunHistory {

	private final Map<String, JobPlan> plans = new ConcurrentHashMap<>();

	private final Map<TaskKey, Set<String>> running = new HashMap<>();

	private final Map<TaskKey, Long> completedAtNanos = new HashMap<>();

	private final Map<TaskKey, Long> lastStartNanos = new HashMap<>();

	private final Set<TaskKey> acknowledged = new HashSet<>();

	private final Set<String> startedJobs = new HashSet<>();

	private final List<String> violations = new ArrayList<>();

	private final long startNanos = System.nanoTime();

	private final Map<TaskKey, Integer> crashes = new HashMap<>();

	private final Map<TaskKey, Integer> startsAfterThirdCrash = new HashMap<>();

	private int runCount;

	void addSubmitted(JobPlan plan) {
		this.plans.put(plan.id(), plan);
	}

	Optional<JobPlan> plan(String job) {
		return Optional.ofNullable(this.plans.get(job));
	}

	synchronized void unknownCheckpoint(TaskKey task, int run, String worker) {
		addViolation("started with a checkpoint that is not the task's", task, run, worker);
	}

	synchronized void start(TaskKey task, int run, String worker, String specification, int milliCoresUsed,
			int capacity) {
		this.runCount++;
		this.startedJobs.add(task.job());
		JobPlan plan = this.plans.get(task.job());
		if (plan == null || !plan.specification().equals(specification)) {
			addViolation("started for a job that was not submitted, or with another specification", task, run, worker);
			return;
		}
		if (!this.running.getOrDefault(task, Set.of()).isEmpty()) {
			addViolation("started while another run of the task is running", task, run, worker);
		}
		if (this.acknowledged.contains(task)) {
			addViolation("started after its completion was acknowledged", task, run, worker);
		}
		if (milliCoresUsed > capacity) {
			addViolation("started beyond the capacity of the worker", task, run, worker);
		}
		if (crashes(task) >= 3 && this.startsAfterThirdCrash.merge(task, 1, Integer::sum) >= 3) {
			addViolation("started three times more after three workers had crashed under it", task, run, worker);
		}
		if (task.step() > 0 && !isStepCompleted(plan, task.job(), task.step() - 1)) {
			addViolation("started before the preceding step was completed", task, run, worker);
		}
		this.lastStartNanos.put(task, System.nanoTime());
		this.running.computeIfAbsent(task, (key) -> new HashSet<>()).add(worker + '/' + run);
	}

	private boolean isStepCompleted(JobPlan plan, String job, int step) {
		for (int index = 0; index < plan.steps().get(step).count(); index++) {
			if (!this.completedAtNanos.containsKey(new TaskKey(job, 0, step, index))) {
				return false;
			}
		}
		return true;
	}

	synchronized void crash(TaskKey task) {
		this.crashes.merge(task, 1, Integer::sum);
	}

	synchronized int crashes(TaskKey task) {
		return this.crashes.getOrDefault(task, 0);
	}

	/**
	 * Returns how many workers have crashed under the tasks that cause that.
	 * @return the number of crashes
	 */
	synchronized int crashCount() {
		return this.crashes.values().stream().mapToInt(Integer::intValue).sum();
	}

	synchronized void end(TaskKey task, int run, String worker, boolean done) {
		this.running.getOrDefault(task, new HashSet<>()).remove(worker + '/' + run);
		if (done) {
			this.completedAtNanos.put(task, System.nanoTime());
		}
	}

	/**
	 * Records that the scheduler acknowledged the successful end of a run.
	 * @param task the task
	 * @param endNanos end of the run by {@link System#nanoTime()}
	 */
	synchronized void acknowledge(TaskKey task, long endNanos) {
		this.acknowledged.add(task);
		if (this.lastStartNanos.getOrDefault(task, Long.MIN_VALUE) > endNanos) {
			addViolation("started after a completion that was acknowledged later", task, 0, "");
		}
	}

	synchronized boolean isCompleted(JobPlan plan) {
		for (int step = 0; step < plan.steps().size(); step++) {
			if (!isStepCompleted(plan, plan.id(), step)) {
				return false;
			}
		}
		return true;
	}

	synchronized boolean hasStarted(String job) {
		return this.startedJobs.contains(job);
	}

	synchronized boolean isRunning(String job) {
		return this.running.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getKey().job().equals(job) && !entry.getValue().isEmpty());
	}

	synchronized int runCount() {
		return this.runCount;
	}

	private void addViolation(String description, TaskKey task, int run, String worker) {
		addViolation(description + ": task " + task + " run " + run + (worker.isEmpty() ? "" : " on " + worker));
	}

	synchronized void addViolation(String message) {
		this.violations.add("%.1f s: %s".formatted((System.nanoTime() - this.startNanos) / 1e9, message));
	}

	synchronized List<String> violations() {
		return List.copyOf(this.violations);
	}

}
