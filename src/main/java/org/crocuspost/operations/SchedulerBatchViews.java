package org.crocuspost.operations;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.scheduler.JobStatus;
import org.crocuspost.scheduler.JobWait;
import org.crocuspost.scheduler.SchedulerView;
import org.crocuspost.scheduler.WorkerStatus;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;

/**
 * Makes the views of batch work from what one scheduler knows.
 */
public final class SchedulerBatchViews {

	private static final Set<TaskStatus> MAY_RUN = EnumSet.of(TaskStatus.CLAIMED, TaskStatus.RUNNING,
			TaskStatus.EVICTING, TaskStatus.CANCELLING);

	private static final Set<TaskStatus> NOT_DONE = EnumSet.of(TaskStatus.FAILED, TaskStatus.CANCELLED);

	private final SchedulerView scheduler;

	private SchedulerBatchViews(SchedulerView scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Makes the views of a scheduler.
	 * @param scheduler what the scheduler knows
	 * @return the views
	 */
	public static BatchViews of(SchedulerView scheduler) {
		SchedulerBatchViews views = new SchedulerBatchViews(scheduler);
		return new BatchViews(() -> Either.right(views.workers()), () -> Either.right(views.jobs()),
				() -> Either.right(views.tasks()), views::explain);
	}

	private List<WorkerView> workers() {
		return this.scheduler.workers().stream().map(this::worker).toList();
	}

	private WorkerView worker(WorkerStatus status) {
		Resources reserved = status.serviceReserve().plus(claimedOn(status.worker()));
		return new WorkerView(status.worker(), status.domain(), status.rack(), status.capacity(), reserved,
				status.runningAttempts(), state(status));
	}

	private Resources claimedOn(String worker) {
		return records().stream()
			.filter((task) -> task.status().mayRun() && task.worker().equals(worker))
			.map(TaskRecord::reserved)
			.reduce(Resources.NONE, Resources::plus);
	}

	private static String state(WorkerStatus status) {
		if (!status.live()) {
			return "silent for " + status.reportAge().toSeconds() + " s";
		}
		return status.onProbation() ? "on probation" : "live";
	}

	private List<JobView> jobs() {
		return this.scheduler.jobs().stream().map(SchedulerBatchViews::job).toList();
	}

	private static JobView job(JobStatus status) {
		return new JobView(status.job(), status.team(), status.declaredTasks(),
				count(status.tasksByStatus(), EnumSet.of(TaskStatus.PENDING)), count(status.tasksByStatus(), MAY_RUN),
				count(status.tasksByStatus(), EnumSet.of(TaskStatus.SUCCEEDED)), count(status.tasksByStatus(), NOT_DONE),
				status.waiting().map(SchedulerBatchViews::text).orElse(""));
	}

	private static int count(Map<TaskStatus, Integer> tasks, Set<TaskStatus> statuses) {
		return statuses.stream().mapToInt((status) -> tasks.getOrDefault(status, 0)).sum();
	}

	private List<TaskView> tasks() {
		return records().stream().map(SchedulerBatchViews::task).toList();
	}

	private List<TaskRecord> records() {
		return this.scheduler.jobs().stream().flatMap((job) -> this.scheduler.tasks(job.job()).stream()).toList();
	}

	private static TaskView task(TaskRecord task) {
		return new TaskView(task.taskId(), task.job(), label(task.status()), task.attempt(), task.worker(),
				task.domain());
	}

	private Either<Failure, Explanation> explain(String taskId) {
		Optional<org.crocuspost.scheduler.Explanation> known = this.scheduler.explain(taskId);
		if (known.isEmpty()) {
			return Either.left(ErrorCode.NOT_FOUND.with("task " + taskId));
		}
		TaskRecord task = known.get().task();
		List<String> reasons = new ArrayList<>();
		known.get().waiting().map(SchedulerBatchViews::text).ifPresent(reasons::add);
		if (!task.reason().isEmpty()) {
			reasons.add(task.reason());
		}
		return Either.right(new Explanation(taskId, label(task.status()), reasons));
	}

	private static String text(JobWait waiting) {
		return waiting.reason().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + waiting.detail();
	}

	private static String label(TaskStatus status) {
		return status.name().toLowerCase(Locale.ROOT);
	}

}
