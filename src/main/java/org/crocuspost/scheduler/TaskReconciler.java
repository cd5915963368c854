package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Option;
import org.crocuspost.shard.ShardToken;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;
import org.crocuspost.task.TaskTransition;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.TaskCommand;
import org.crocuspost.worker.WireResources;

/**
 * Compares the rows of tasks that may run with the reports of the workers and determines
 * the changes of the rows. An attempt is ended only if its worker reports the end or if
 * all leases under which it may run have lapsed, never on an assumption.
 */
final class TaskReconciler {

	private final SchedulingSettings settings;

	private final WorkerDirectory workers;

	private final RenewalPermissions permissions;

	private final CommandSender commands;

	private final LearnedState learned;

	private final EvictionBudgets evictionBudgets;

	private int remainingConfirmations;

	TaskReconciler(SchedulingSettings settings, WorkerDirectory workers, RenewalPermissions permissions,
			CommandSender commands, LearnedState learned, EvictionBudgets evictionBudgets) {
		this.settings = settings;
		this.workers = workers;
		this.permissions = permissions;
		this.commands = commands;
		this.learned = learned;
		this.evictionBudgets = evictionBudgets;
	}

	/**
	 * Begins a round and resets the number of start confirmations that it may write.
	 * Confirmed starts are shown to operators but nothing depends on them, so a round
	 * writes only a few.
	 */
	void beginRound() {
		this.remainingConfirmations = this.settings.limits().maxConfirmationsPerRound();
	}

	/**
	 * Determines the changes of the task rows of a failure domain.
	 * @param token the proof of the lease
	 * @param active the rows of tasks that may run there
	 * @param configuration the configuration on which the round acts
	 * @return the changes
	 */
	List<TaskChange> reconcile(ShardToken token, List<CachedTask> active, RoundConfiguration configuration) {
		List<TaskChange> changes = new ArrayList<>();
		for (CachedTask task : active) {
			reconcile(token, task, configuration).forEach(changes::add);
		}
		return changes;
	}

	private Option<TaskChange> reconcile(ShardToken token, CachedTask task, RoundConfiguration configuration) {
		TaskRecord row = task.record();
		Option<WorkerState> worker = this.workers.find(row.worker())
			.filter((state) -> state.domain().equals(row.domain()));
		Option<AttemptReport> report = worker.flatMap((state) -> state.attempt(row.attemptKey()));
		if (report.exists((attempt) -> attempt.getPhase() != AttemptReport.Phase.PHASE_RUNNING)) {
			return Option.of(reconcileEnded(task, report.get()));
		}
		if (worker.isEmpty() || !this.workers.isLive(worker.get())) {
			return reconcileUnresponsive(token, task, worker, report);
		}
		if (report.isEmpty()) {
			return reconcileMissing(token, task, worker.get(), configuration);
		}
		return reconcileRunning(token, task, worker.get(), report.get(), configuration);
	}

	private TaskChange reconcileEnded(CachedTask task, AttemptReport report) {
		TaskRecord row = task.record();
		this.learned.sizes().recordUsage(row.job(), WireResources.fromWire(report.getUsed()));
		if (report.getPhase() != AttemptReport.Phase.PHASE_SUCCEEDED) {
			this.learned.runTimes().discard(row.attemptKey());
		}
		return switch (report.getPhase()) {
			case PHASE_SUCCEEDED -> {
				this.learned.failures().recordSuccess(row);
				this.learned.runTimes().recordSuccess(row.attemptKey(), row.job());
				yield TaskChange.of(task, row.apply(TaskTransition.SUCCEED, report.getCheckpoint(), ""));
			}
			case PHASE_FAILED -> reconcileFailed(task, report);
			default -> TaskChange.of(task,
					row.apply(transitionOfStopped(row, report), report.getCheckpoint(), report.getMessage()));
		};
	}

	private static TaskTransition transitionOfStopped(TaskRecord row, AttemptReport report) {
		boolean neverStarted = report.getJob().isEmpty();
		return switch (row.status()) {
			case CLAIMED -> neverStarted ? TaskTransition.CONFIRM_NOT_STARTED : TaskTransition.LAPSE;
			case EVICTING -> TaskTransition.CONFIRM_EVICTED;
			case CANCELLING -> TaskTransition.CONFIRM_CANCELLED;
			default -> TaskTransition.LAPSE;
		};
	}

	private TaskChange reconcileFailed(CachedTask task, AttemptReport report) {
		TaskRecord row = task.record();
		if (row.status() == TaskStatus.CANCELLING) {
			return TaskChange.of(task, row.apply(TaskTransition.CONFIRM_CANCELLED, "", report.getMessage()));
		}
		if (!this.learned.failures().recordFailure(row)) {
			return TaskChange.of(task, row.apply(TaskTransition.RETRY, report.getCheckpoint(), report.getMessage()));
		}
		boolean attemptsExhausted = row.failures() + 1 >= this.settings.limits().maxFailuresPerTask();
		TaskTransition transition = attemptsExhausted ? TaskTransition.GIVE_UP : TaskTransition.RETRY;
		return TaskChange.of(task, row.fail(transition, report.getCheckpoint(), report.getMessage()));
	}

	private Option<TaskChange> reconcileUnresponsive(ShardToken token, CachedTask task, Option<WorkerState> worker,
			Option<AttemptReport> report) {
		TaskRecord row = task.record();
		long acknowledged = worker.map(WorkerState::acknowledgedEpoch).getOrElse(0L);
		if (!this.permissions.haveLeasesLapsed(token.domain(), token.epoch(), row.worker(), acknowledged)) {
			return Option.none();
		}
		String checkpoint = report.map(AttemptReport::getCheckpoint).getOrElse("");
		TaskTransition transition = (row.status() == TaskStatus.CANCELLING) ? TaskTransition.CONFIRM_CANCELLED
				: TaskTransition.LAPSE;
		return Option
			.of(TaskChange.of(task, row.apply(transition, checkpoint, "worker " + row.worker() + " is silent")));
	}

	private Option<TaskChange> reconcileMissing(ShardToken token, CachedTask task, WorkerState worker,
			RoundConfiguration configuration) {
		Option<TaskChange> cancellation = cancelIfWithdrawn(task, configuration);
		if (cancellation.isDefined()) {
			return cancellation;
		}
		if (this.commands.isDue(task.record().attemptKey())) {
			this.commands.send(worker, task.record(), token.epoch(), TaskCommand.Kind.KIND_STOP, 0);
		}
		return Option.none();
	}

	private Option<TaskChange> reconcileRunning(ShardToken token, CachedTask task, WorkerState worker,
			AttemptReport report, RoundConfiguration configuration) {
		Option<TaskChange> cancellation = cancelIfWithdrawn(task, configuration);
		if (cancellation.isDefined()) {
			return cancellation;
		}
		TaskRecord row = task.record();
		switch (row.status()) {
			case EVICTING -> repeatCommand(token, row, worker, TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP);
			case CANCELLING -> repeatCommand(token, row, worker, TaskCommand.Kind.KIND_STOP);
			default -> {
				return evictOrConfirm(task, report, configuration);
			}
		}
		return Option.none();
	}

	private Option<TaskChange> evictOrConfirm(CachedTask task, AttemptReport report, RoundConfiguration configuration) {
		TaskRecord row = task.record();
		boolean domainOut = configuration.configuration().domainsOut().contains(row.domain());
		if (domainOut || (report.getEvictRequested() && this.evictionBudgets.tryAcquire(row.worker()))) {
			String reason = domainOut ? "failure domain " + row.domain() + " is out"
					: "the agent asked for the eviction";
			return Option.of(TaskChange.of(task, row.apply(TaskTransition.EVICT, report.getCheckpoint(), reason))
				.withCommand(TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP));
		}
		return confirmStart(task, report);
	}

	private Option<TaskChange> confirmStart(CachedTask task, AttemptReport report) {
		if (task.record().status() != TaskStatus.CLAIMED || this.remainingConfirmations == 0) {
			return Option.none();
		}
		this.remainingConfirmations--;
		return Option
			.of(TaskChange.of(task, task.record().apply(TaskTransition.CONFIRM_START, report.getCheckpoint(), "")));
	}

	private static Option<TaskChange> cancelIfWithdrawn(CachedTask task, RoundConfiguration configuration) {
		TaskRecord row = task.record();
		if (row.status() == TaskStatus.CANCELLING || configuration.mayDeclare(row.job())) {
			return Option.none();
		}
		return Option.of(TaskChange.of(task, row.apply(TaskTransition.CANCEL, "", "the job was withdrawn"))
			.withCommand(TaskCommand.Kind.KIND_STOP));
	}

	private void repeatCommand(ShardToken token, TaskRecord row, WorkerState worker, TaskCommand.Kind kind) {
		if (this.commands.isDue(row.attemptKey())) {
			this.commands.send(worker, row, token.epoch(), kind, 0);
		}
	}

}
