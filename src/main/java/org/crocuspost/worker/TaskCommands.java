package org.crocuspost.worker;

import java.time.Duration;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.platform.worker.TaskState;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.wire.TaskCommand;
import org.crocuspost.wire.TaskCommandReply;

/**
 * Carries out task commands. A start that is refused is first made impossible for ever at
 * the worker runtime, so the refusal is a proof that the attempt never runs.
 */
final class TaskCommands {

	private final TaskAgentSettings settings;

	private final WorkerConditions conditions;

	private final WorkerRuntime runtime;

	private final AttemptRegistry registry;

	private final ReportLog reports;

	private final RenewalGrant grant;

	private final EpochFence fence;

	TaskCommands(TaskAgentSettings settings, WorkerConditions conditions, WorkerRuntime runtime,
			AttemptRegistry registry, ReportLog reports, RenewalGrant grant, EpochFence fence) {
		this.settings = settings;
		this.conditions = conditions;
		this.runtime = runtime;
		this.registry = registry;
		this.reports = reports;
		this.grant = grant;
		this.fence = fence;
	}

	TaskCommandReply obey(TaskCommand command) {
		if (!this.fence.admits(command.getEpoch())) {
			return refused(ErrorCode.FENCED.with(command.getEpoch(), this.fence.highest()));
		}
		AttemptKey key = new AttemptKey(command.getTaskId(), command.getAttempt());
		return switch (command.getKind()) {
			case KIND_START -> start(key, command);
			case KIND_STOP -> stop(key);
			case KIND_CHECKPOINT_AND_STOP -> checkpointAndStop(key);
			case KIND_UNSPECIFIED, UNRECOGNIZED -> refused(ErrorCode.MALFORMED.with("unknown kind of task command"));
		};
	}

	private TaskCommandReply start(AttemptKey key, TaskCommand command) {
		if (this.registry.find(key).isDefined()) {
			return accepted(key);
		}
		Option<Failure> objection = objection(key, command);
		if (objection.isDefined()) {
			return refuseForEver(key, objection.get());
		}
		TaskStart start = new TaskStart(key, command.getJob(), WireResources.fromWire(command.getResources()),
				command.getCheckpoint(), firstLease());
		Either<Failure, TaskState> started = this.runtime.start(start);
		if (started.isLeft()) {
			return refuseForEver(key, started.getLeft());
		}
		this.registry.put(started.get(), command.getEpoch());
		return accepted(key);
	}

	private Option<Failure> objection(AttemptKey key, TaskCommand command) {
		boolean expired = !this.reports.fresh(command.getReportSequence(), this.settings.times().startBudget());
		if (expired || this.conditions.domainOutOfService() || this.grant.remaining().isZero() || !this.registry.complete()) {
			return Option.of(ErrorCode.START_EXPIRED.with(key.taskId()));
		}
		Resources wanted = this.registry.held()
			.plus(this.conditions.serviceReserve())
			.plus(WireResources.fromWire(command.getResources()));
		if (!wanted.fitsInto(this.settings.capacity())) {
			return Option.of(ErrorCode.WORKER_FULL.with(this.settings.worker(), key.taskId()));
		}
		return Option.none();
	}

	private Duration firstLease() {
		Duration lease = this.settings.times().taskLease();
		Duration remaining = this.grant.remaining();
		return (remaining.compareTo(lease) < 0) ? remaining : lease;
	}

	private TaskCommandReply refuseForEver(AttemptKey key, Failure failure) {
		if (this.registry.stop(key).isLeft()) {
			return refused(failure);
		}
		return refused(failure).toBuilder().setAttempt(this.registry.find(key).get().report()).build();
	}

	private TaskCommandReply stop(AttemptKey key) {
		Either<Failure, TaskState> stopped = this.registry.stop(key);
		return stopped.isLeft() ? refused(stopped.getLeft()) : accepted(key);
	}

	private TaskCommandReply checkpointAndStop(AttemptKey key) {
		this.registry.checkpoint(key);
		return stop(key);
	}

	private TaskCommandReply accepted(AttemptKey key) {
		return TaskCommandReply.newBuilder()
			.setAccepted(true)
			.setAttempt(this.registry.find(key).get().report())
			.build();
	}

	private static TaskCommandReply refused(Failure failure) {
		return TaskCommandReply.newBuilder()
			.setAccepted(false)
			.setErrorCode(failure.code().code())
			.setErrorMessage(failure.message())
			.build();
	}

}
