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
 * Compares the rows of tasks that may run with what the workers report, and works out the
 * changes. It never guesses: an attempt ends only with the worker's word or with the
 * lapse of every lease.
 */
final class TaskReconciler {

	private final SchedulingSettings settings;

	private final WorkerDirectory workers;

	private final RenewalPermissions permissions;

	private final CommandSender commands;

	private final Knowledge knowledge;

	private final EvictionBudgets budgets;

	private int confirmations;

	TaskReconciler(SchedulingSettings settings, WorkerDirectory workers, RenewalPermissions permissions,
			CommandSender commands, Knowledge knowledge, EvictionBudgets budgets) {
		this.settings = settings;
		this.workers = workers;
		this.permissions = permissions;
		this.commands = commands;
		this.knowledge = knowledge;
		this.budgets = budgets;
	}

	/**
	 * Begins a round. Confirmed starts are shown to operators but nothing depends on
	 * them, so a round writes only a few.
	 */
	void beginRound() {
		this.confirmations = this.settings.limits().confirmationsPerRound();
	}

	/**
	 * Works out the changes of a failure domain.
	 * @param token the proof of the lease
	 * @param active the rows of tasks that may run there
	 * @param configuration the configuration in force
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
			return Option.of(ended(task, report.get()));
		}
		if (worker.isEmpty() || !this.workers.live(worker.get())) {
			return silent(token, task, worker, report);
		}
		if (report.isEmpty()) {
			return missing(token, task, worker.get(), configuration);
		}
		return running(token, task, worker.get(), report.get(), configuration);
	}

	private TaskChange ended(CachedTask task, AttemptReport report) {
		TaskRecord row = task.record();
		this.knowledge.sizes().measured(row.job(), WireResources.fromWire(report.getUsed()));
		if (report.getPhase() != AttemptReport.Phase.PHASE_SUCCEEDED) {
			this.knowledge.runTimes().stopped(row.attemptKey());
		}
		return switch (report.getPhase()) {
			case PHASE_SUCCEEDED -> {
				this.knowledge.failures().succeeded(row);
				this.knowledge.runTimes().succeeded(row.attemptKey(), row.job());
				yield TaskChange.of(task, row.apply(TaskTransition.SUCCEED, report.getCheckpoint(), ""));
			}
			case PHASE_FAILED -> failed(task, report);
			default ->
				TaskChange.of(task, row.apply(stopped(row, report), report.getCheckpoint(), report.getMessage()));
		};
	}

	private static TaskTransition stopped(TaskRecord row, AttemptReport report) {
		boolean neverStarted = report.getJob().isEmpty();
		return switch (row.status()) {
			case CLAIMED -> neverStarted ? TaskTransition.CONFIRM_NOT_STARTED : TaskTransition.LAPSE;
			case EVICTING -> TaskTransition.CONFIRM_EVICTED;
			case CANCELLING -> TaskTransition.CONFIRM_CANCELLED;
			default -> TaskTransition.LAPSE;
		};
	}

	private TaskChange failed(CachedTask task, AttemptReport report) {
		TaskRecord row = task.record();
		if (row.status() == TaskStatus.CANCELLING) {
			return TaskChange.of(task, row.apply(TaskTransition.CONFIRM_CANCELLED, "", report.getMessage()));
		}
		if (!this.knowledge.failures().failed(row)) {
			return TaskChange.of(task, row.apply(TaskTransition.RETRY, report.getCheckpoint(), report.getMessage()));
		}
		boolean last = row.failures() + 1 >= this.settings.limits().failuresPerTask();
		TaskTransition transition = last ? TaskTransition.GIVE_UP : TaskTransition.RETRY;
		return TaskChange.of(task, row.fail(transition, report.getCheckpoint(), report.getMessage()));
	}

	private Option<TaskChange> silent(ShardToken token, CachedTask task, Option<WorkerState> worker,
			Option<AttemptReport> report) {
		TaskRecord row = task.record();
		long acknowledged = worker.map(WorkerState::epoch).getOrElse(0L);
		if (!this.permissions.lapsed(token.domain(), token.epoch(), row.worker(), acknowledged)) {
			return Option.none();
		}
		String checkpoint = report.map(AttemptReport::getCheckpoint).getOrElse("");
		TaskTransition transition = (row.status() == TaskStatus.CANCELLING) ? TaskTransition.CONFIRM_CANCELLED
				: TaskTransition.LAPSE;
		return Option
			.of(TaskChange.of(task, row.apply(transition, checkpoint, "worker " + row.worker() + " is silent")));
	}

	private Option<TaskChange> missing(ShardToken token, CachedTask task, WorkerState worker,
			RoundConfiguration configuration) {
		Option<TaskChange> change = withdrawn(task, configuration);
		if (change.isDefined()) {
			return change;
		}
		if (this.commands.due(task.record().attemptKey())) {
			this.commands.send(worker, task.record(), token.epoch(), TaskCommand.Kind.KIND_STOP, 0);
		}
		return Option.none();
	}

	private Option<TaskChange> running(ShardToken token, CachedTask task, WorkerState worker, AttemptReport report,
			RoundConfiguration configuration) {
		Option<TaskChange> change = withdrawn(task, configuration);
		if (change.isDefined()) {
			return change;
		}
		TaskRecord row = task.record();
		switch (row.status()) {
			case EVICTING -> repeat(token, row, worker, TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP);
			case CANCELLING -> repeat(token, row, worker, TaskCommand.Kind.KIND_STOP);
			default -> {
				return leaving(task, report, configuration);
			}
		}
		return Option.none();
	}

	private Option<TaskChange> leaving(CachedTask task, AttemptReport report, RoundConfiguration configuration) {
		TaskRecord row = task.record();
		boolean out = configuration.configuration().domainsOut().contains(row.domain());
		if (out || (report.getEvictRequested() && this.budgets.take(row.worker()))) {
			String reason = out ? "failure domain " + row.domain() + " is out" : "the agent asked for the eviction";
			return Option.of(TaskChange.of(task, row.apply(TaskTransition.EVICT, report.getCheckpoint(), reason))
				.then(TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP));
		}
		return confirmed(task, report);
	}

	private Option<TaskChange> confirmed(CachedTask task, AttemptReport report) {
		if (task.record().status() != TaskStatus.CLAIMED || this.confirmations == 0) {
			return Option.none();
		}
		this.confirmations--;
		return Option
			.of(TaskChange.of(task, task.record().apply(TaskTransition.CONFIRM_START, report.getCheckpoint(), "")));
	}

	private static Option<TaskChange> withdrawn(CachedTask task, RoundConfiguration configuration) {
		TaskRecord row = task.record();
		if (row.status() == TaskStatus.CANCELLING || configuration.declares(row.job())) {
			return Option.none();
		}
		return Option.of(TaskChange.of(task, row.apply(TaskTransition.CANCEL, "", "the job was withdrawn"))
			.then(TaskCommand.Kind.KIND_STOP));
	}

	private void repeat(ShardToken token, TaskRecord row, WorkerState worker, TaskCommand.Kind kind) {
		if (this.commands.due(row.attemptKey())) {
			this.commands.send(worker, row, token.epoch(), kind, 0);
		}
	}

}
