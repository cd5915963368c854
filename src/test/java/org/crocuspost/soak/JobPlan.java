package org.crocuspost.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.crocuspost.job.TaskKey;
import org.crocuspost.json.JsonTrees;

/**
 * A job that a caller submits. From the plan, the stand-in workers take how long a task
 * runs and which of its runs fail.
 *
 * @param id the identity
 * @param steps the steps; each starts after the one before it
 * @param longRunning whether the tasks run until the job is cancelled
 * @param cancelAfterMillis time in milliseconds after which the caller cancels the job; 0
 * for never
 * @param deadly whether the first task crashes each worker that starts it
 */
record JobPlan(String id, List<Step> steps, boolean longRunning, long cancelAfterMillis, boolean deadly) {

	private static final int DEADLY_JOBS_INTERVAL = 25;

	private static final int FAILING_RUNS_PERCENT = 4;

	static JobPlan generate(RandomGenerator random) {
		boolean longRunning = random.nextInt(12) == 0;
		List<Step> steps = new ArrayList<>();
		int count = longRunning ? 1 : 1 + random.nextInt(2);
		for (int step = 0; step < count; step++) {
			steps.add(new Step(1 + random.nextInt(4), 250 + 250 * random.nextInt(4), 150 + random.nextInt(900),
					random.nextBoolean()));
		}
		long cancelAfterMillis = (longRunning || random.nextInt(10) == 0) ? 500 + random.nextInt(8_000) : 0;
		return new JobPlan("%016x".formatted(random.nextLong()), steps, longRunning, cancelAfterMillis, false);
	}

	/**
	 * Returns a plan of which a fixed share is deadly, chosen by the identity, so that
	 * the plans of a seed are otherwise the same.
	 * @return the plan
	 */
	JobPlan withDeadlyShare() {
		boolean chosen = Long.parseUnsignedLong(this.id, 16) % DEADLY_JOBS_INTERVAL == 0;
		return new JobPlan(this.id, this.steps, this.longRunning, this.cancelAfterMillis, chosen);
	}

	boolean crashesWorker(TaskKey task) {
		return this.deadly && task.equals(deadlyTask());
	}

	TaskKey deadlyTask() {
		return new TaskKey(this.id, 0, 0, 0);
	}

	byte[] body() {
		ObjectNode body = JsonTrees.object().put("spec", specification());
		ArrayNode list = body.putArray("steps");
		for (int number = 0; number < this.steps.size(); number++) {
			Step step = this.steps.get(number);
			ObjectNode node = list.addObject()
				.put("count", step.count)
				.put("cpu", step.milliCores)
				.put("mem_mb", 100)
				.put("estimate_ms", step.runTimeMillis);
			if (number > 0) {
				node.putArray("after").add(number - 1);
			}
			if (step.checkpointing) {
				node.put("checkpointing", true);
			}
			if (this.longRunning) {
				node.put("long_running", true);
			}
		}
		return JsonTrees.bytes(body);
	}

	String specification() {
		return "job " + this.id;
	}

	Step step(TaskKey task) {
		return this.steps.get(task.step());
	}

	/**
	 * Returns whether a run of a task fails because of the task itself. Any run of a
	 * long-running task may fail, but only the first run of other tasks, so that no job
	 * uses up its attempts.
	 * @param task the task
	 * @param run the number of the run
	 * @return true if the run fails
	 */
	boolean fails(TaskKey task, int run) {
		return (this.longRunning || run == 1) && Math.floorMod(task.hashCode() * 31 + run, 100) < FAILING_RUNS_PERCENT;
	}

	/**
	 * A group of identical tasks.
	 *
	 * @param count number of tasks
	 * @param milliCores processor share of each task in thousandths of a core
	 * @param runTimeMillis run time of each task in milliseconds
	 * @param checkpointing whether the tasks save checkpoints
	 */
	record Step(int count, int milliCores, long runTimeMillis, boolean checkpointing) {
	}

}
