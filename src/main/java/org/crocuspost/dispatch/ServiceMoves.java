package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Moves runs of services to chosen workers and holds the room that they need there.
 *
 * <p>
 * Load pattern: short tasks fill each gap within milliseconds, and services arrive while
 * others are moved. Example: a service of 34 tasks arrives while five tasks leave a
 * worker. If the moved tasks start wherever there is room after they have stopped, the
 * new ones take the room that was found for them, they return to the worker that they
 * have left, and it is not free. Therefore, room is held on the target first, a run is
 * stopped only when its room is free, and its task starts there.
 */
final class ServiceMoves {

	/**
	 * Time for which room is held on the target of a move whose run is not stopped yet.
	 * Short tasks that were running there end within it.
	 */
	private static final Duration MAXIMUM_WAIT_FOR_ROOM = Duration.ofSeconds(3);

	/**
	 * Time from the decision to stop a run after which its move is given up.
	 */
	private static final Duration MAXIMUM_STOP_DURATION = Duration.ofSeconds(3);

	private final Map<TaskKey, Move> moves = new LinkedHashMap<>();

	/**
	 * Plans to move a run.
	 * @param placement the run
	 * @param target the host to which its task moves; room is held there from now on
	 * @param nowNanos the current time
	 */
	void plan(Placement placement, CandidateHost target, long nowNanos) {
		target.holdRoom(placement.task().step());
		this.moves.put(placement.task().key(), new Move(placement, target, nowNanos));
	}

	/**
	 * Begins a scheduling pass: gives up moves that have become pointless, holds the room
	 * of the others, and requests the stop of the runs whose room is free.
	 * @param candidates the hosts whose workers accept tasks
	 * @param nowNanos the current time
	 */
	void beginPass(Collection<CandidateHost> candidates, long nowNanos) {
		Map<HostState, CandidateHost> candidatesByHost = new HashMap<>();
		candidates.forEach((candidate) -> candidatesByHost.put(candidate.host(), candidate));
		this.moves.values().removeIf((move) -> !move.continues(candidatesByHost, nowNanos));
		for (Move move : this.moves.values()) {
			move.target.holdRoom(move.step());
			if (!move.stopRequested && move.target.hasHeldRoom()) {
				move.stopRequested = true;
				move.sinceNanos = nowNanos;
			}
		}
	}

	/**
	 * Returns the host to which a waiting task moves, and the room that is held for it.
	 * @param task the task
	 * @return the host; null if the task is not moved
	 */
	@Nullable CandidateHost releaseTarget(TaskProgress task) {
		Move move = this.moves.get(task.key());
		if (move == null) {
			return null;
		}
		move.target.releaseRoom(task.step());
		return move.target;
	}

	/**
	 * Returns whether a run is stopped now because its task moves.
	 * @param placement the run
	 * @param nowNanos the current time
	 * @return true if room is held for the task and is free
	 */
	boolean stops(Placement placement, long nowNanos) {
		Move move = this.moves.get(placement.task().key());
		return move != null && move.placement == placement && move.stopRequested && !move.expired(nowNanos);
	}

	/**
	 * Returns whether a task moves or is going to.
	 * @param task the task
	 * @return true until it is placed or its move is given up
	 */
	boolean concerns(TaskKey task) {
		return this.moves.containsKey(task);
	}

	/**
	 * Returns how many tasks move or are going to.
	 * @return the number of tasks of all services
	 */
	int pending() {
		return this.moves.size();
	}

	/**
	 * Returns how many tasks of a step move to a host.
	 * @param host the host
	 * @param step the step
	 * @return the number of tasks that are not there yet
	 */
	int pendingTasks(HostState host, StepOccurrence step) {
		int count = 0;
		for (Map.Entry<TaskKey, Move> move : this.moves.entrySet()) {
			count += (move.getValue().target.host() == host && StepOccurrence.of(move.getKey()).equals(step)) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Ends the move of a task that has got a worker.
	 * @param task the task
	 */
	void placed(TaskKey task) {
		this.moves.remove(task);
	}

	/**
	 * Ends the moves of the tasks of a job that has ended.
	 * @param job the identity of the job
	 */
	void jobEnded(String job) {
		this.moves.keySet().removeIf((task) -> task.job().equals(job));
	}

	/**
	 * Move of a task from one worker to another. Mutable.
	 */
	private static final class Move {

		private final Placement placement;

		private final String targetWorker;

		private final long targetWorkerStartMillis;

		private CandidateHost target;

		private boolean stopRequested;

		private long sinceNanos;

		private Move(Placement placement, CandidateHost target, long nowNanos) {
			this.placement = placement;
			this.target = target;
			this.targetWorker = target.host().worker().getId();
			this.targetWorkerStartMillis = target.host().worker().getBorn();
			this.sinceNanos = nowNanos;
		}

		private StepSpecification step() {
			return this.placement.task().step();
		}

		private boolean expired(long nowNanos) {
			Duration limit = this.stopRequested ? MAXIMUM_STOP_DURATION : MAXIMUM_WAIT_FOR_ROOM;
			return nowNanos - this.sinceNanos >= limit.toNanos();
		}

		private boolean continues(Map<HostState, CandidateHost> candidates, long nowNanos) {
			CandidateHost present = candidates.get(this.target.host());
			boolean stopped = this.stopRequested && this.placement.task().status().waiting();
			if (present == null || expired(nowNanos) || !(this.placement.current() || stopped)
					|| !present.host().worker().getId().equals(this.targetWorker)
					|| present.host().worker().getBorn() != this.targetWorkerStartMillis) {
				return false;
			}
			this.target = present;
			return true;
		}

	}

}
