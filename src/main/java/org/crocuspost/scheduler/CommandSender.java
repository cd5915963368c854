package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.TaskCommand;
import org.crocuspost.worker.WireResources;

/**
 * Sends task commands to agents and updates the worker directory with the attempts that
 * are reported in the answers.
 */
final class CommandSender {

	private final Clock clock;

	private final SchedulingSettings settings;

	private final WorkerDirectory workers;

	private final Map<AttemptKey, Stopwatch> lastSent = new HashMap<>();

	CommandSender(Clock clock, SchedulingSettings settings, WorkerDirectory workers) {
		this.clock = clock;
		this.settings = settings;
		this.workers = workers;
	}

	/**
	 * Sends a command.
	 * @param worker the worker
	 * @param task the row on which the command is based
	 * @param epoch the epoch of the lease, used as fencing token
	 * @param kind the kind of command
	 * @param reportSequence the sequence number of the report on which a start is based;
	 * 0 for other commands
	 */
	void send(WorkerState worker, TaskRecord task, long epoch, TaskCommand.Kind kind, long reportSequence) {
		this.lastSent.put(task.attemptKey(), Stopwatch.start(this.clock));
		TaskCommand command = TaskCommand.newBuilder()
			.setKind(kind)
			.setTaskId(task.taskId())
			.setAttempt(task.attempt())
			.setEpoch(epoch)
			.setJob(task.job())
			.setResources(WireResources.toWire(task.reserved()))
			.setCheckpoint(task.checkpoint())
			.setReportSequence(reportSequence)
			.setLeaseMilliseconds((int) this.settings.permission().taskLease().toMillis())
			.build();
		call(worker, command);
	}

	/**
	 * Stops an attempt that is not assigned to its worker by any row. Does nothing if the
	 * last command for the attempt is too recent to be repeated.
	 * @param worker the worker
	 * @param attempt the attempt
	 * @param epoch the epoch of the lease, used as fencing token
	 */
	void stopUnassigned(WorkerState worker, AttemptKey attempt, long epoch) {
		if (!isDue(attempt)) {
			return;
		}
		this.lastSent.put(attempt, Stopwatch.start(this.clock));
		call(worker,
				TaskCommand.newBuilder()
					.setKind(TaskCommand.Kind.KIND_STOP)
					.setTaskId(attempt.taskId())
					.setAttempt(attempt.attempt())
					.setEpoch(epoch)
					.build());
	}

	/**
	 * Returns whether the last command for an attempt is so old that another may be sent.
	 * @param attempt the attempt
	 * @return true if no command was sent or the retry interval has passed since the last
	 * one
	 */
	boolean isDue(AttemptKey attempt) {
		Stopwatch sent = this.lastSent.get(attempt);
		return sent == null || sent.observerElapsed().compareTo(this.settings.times().commandRetryInterval()) >= 0;
	}

	/**
	 * Removes the send times of commands whose retry interval has long passed.
	 */
	void prune() {
		Duration retention = this.settings.times().commandRetryInterval().multipliedBy(2);
		this.lastSent.values().removeIf((sent) -> sent.observerElapsed().compareTo(retention) > 0);
	}

	private void call(WorkerState worker, TaskCommand command) {
		Peer peer = worker.peer();
		peer.call(Frame.newBuilder().setTaskCommand(command).build(), this.settings.times().callTimeout())
			.thenAccept((answer) -> processAnswer(worker, peer, answer));
	}

	private void processAnswer(WorkerState worker, Peer peer, Either<Failure, Frame> answer) {
		if (answer.isLeft() || !answer.get().getTaskCommandReply().hasAttempt()) {
			return;
		}
		this.workers.update(worker.worker(), peer, answer.get().getTaskCommandReply().getAttempt());
	}

}
