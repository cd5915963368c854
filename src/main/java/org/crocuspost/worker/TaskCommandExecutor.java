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
 * Executes task commands. Commands with an outdated fencing token are refused. When any
 * other start is refused, the worker runtime is first made to reject the attempt
 * permanently. A refusal that contains a report of the attempt therefore proves that the
 * attempt does not run from then on; if the runtime does not confirm the rejection, the
 * refusal contains no report.
 */
final class TaskCommandExecutor {

	private final TaskAgentSettings settings;

	private final WorkerConditions conditions;

	private final WorkerRuntime runtime;

	private final AttemptRegistry registry;

	private final SentReports sentReports;

	private final RenewalGrant renewalGrant;

	private final EpochFence epochFence;

	TaskCommandExecutor(TaskAgentSettings settings, WorkerConditions conditions, WorkerRuntime runtime,
			AttemptRegistry registry, SentReports sentReports, RenewalGrant renewalGrant, EpochFence epochFence) {
		this.settings = settings;
		this.conditions = conditions;
		this.runtime = runtime;
		this.registry = registry;
		this.sentReports = sentReports;
		this.renewalGrant = renewalGrant;
		this.epochFence = epochFence;
	}

	TaskCommandReply execute(TaskCommand command) {
		if (!this.epochFence.admit(command.getEpoch())) {
			return refused(ErrorCode.FENCED.with(command.getEpoch(), this.epochFence.highest()));
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
		Option<Failure> refusal = refusalReason(key, command);
		if (refusal.isDefined()) {
			return refusePermanently(key, refusal.get());
		}
		TaskStart start = new TaskStart(key, command.getJob(), WireResources.fromWire(command.getResources()),
				command.getCheckpoint(), initialLease());
		Either<Failure, TaskState> started = this.runtime.start(start);
		if (started.isLeft()) {
			return refusePermanently(key, started.getLeft());
		}
		this.registry.addOrUpdate(started.get(), command.getEpoch());
		return accepted(key);
	}

	private Option<Failure> refusalReason(AttemptKey key, TaskCommand command) {
		boolean expired = !this.sentReports.isRecent(command.getReportSequence(), this.settings.times().startBudget());
		if (expired || this.conditions.domainOutOfService() || this.renewalGrant.remaining().isZero()
				|| !this.registry.isSynchronized()) {
			return Option.of(ErrorCode.START_EXPIRED.with(key.taskId()));
		}
		Resources required = this.registry.occupiedResources()
			.plus(this.conditions.serviceReserve())
			.plus(WireResources.fromWire(command.getResources()));
		if (!required.fitsInto(this.settings.capacity())) {
			return Option.of(ErrorCode.WORKER_FULL.with(this.settings.worker(), key.taskId()));
		}
		return Option.none();
	}

	private Duration initialLease() {
		Duration lease = this.settings.times().taskLease();
		Duration remaining = this.renewalGrant.remaining();
		return (remaining.compareTo(lease) < 0) ? remaining : lease;
	}

	private TaskCommandReply refusePermanently(AttemptKey key, Failure failure) {
		if (this.registry.stop(key).isLeft()) {
			return refused(failure);
		}
		return refused(failure).toBuilder().setAttempt(this.registry.find(key).get().toReport()).build();
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
			.setAttempt(this.registry.find(key).get().toReport())
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
