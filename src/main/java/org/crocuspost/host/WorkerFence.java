package org.crocuspost.host;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * What the worker of a host rejects by the fencing tokens of its agent: the calls for
 * former leaders, and those of earlier incarnations of the agent.
 */
final class WorkerFence {

	private final FencingTokens tokens;

	/**
	 * Whether the epoch was known at the start. Otherwise an earlier incarnation of the
	 * agent may have obeyed a newer leader than this one does.
	 */
	private boolean startedWithEpoch;

	/**
	 * The highest token that the present incarnation of the worker has accepted; 0 if it
	 * has accepted none.
	 */
	private long accepted;

	WorkerFence(Clock clock) {
		this.tokens = new FencingTokens(clock.instant());
	}

	/**
	 * Records the epoch that the agent knows at its start.
	 * @param epoch the epoch; 0 if it is not known
	 */
	void start(long epoch) {
		this.startedWithEpoch = epoch > 0;
		this.tokens.followLeader(epoch);
	}

	/**
	 * Returns the token of the next call.
	 * @return the token
	 */
	long token() {
		return this.tokens.current();
	}

	/**
	 * Raises the token to those of a leader.
	 * @param epoch the epoch of the leader
	 * @return whether the token has changed, so that a call is needed for the worker to
	 * reject former leaders
	 */
	boolean followLeader(long epoch) {
		return this.tokens.followLeader(epoch);
	}

	/**
	 * Begins the next incarnation of the worker, which rejects nothing yet. A call for
	 * the former incarnation that is delivered late is rejected by it.
	 */
	void beginWorkerIncarnation() {
		this.tokens.beginWorkerIncarnation();
		this.accepted = 0;
	}

	/**
	 * Records that the worker has carried out a call.
	 * @param worker the identity of the worker
	 * @param token the token of the call
	 */
	void accepted(String worker, long token) {
		long formerEpoch = fencedEpoch();
		this.accepted = Math.max(this.accepted, token);
		if (fencedEpoch() > formerEpoch) {
			EventLog.info(HostEvent.FORMER_LEADERS_FENCED, Field.of("worker", worker), Field.of("epoch", fencedEpoch()),
					Field.of("former", formerEpoch));
		}
	}

	/**
	 * Raises the token after the worker has rejected a call, unless it was raised since.
	 * The worker has seen a higher token from an earlier incarnation of the agent,
	 * although the wall clock should have ensured a higher one now, or for a newer
	 * leader.
	 * @param token the token of the call
	 * @param nothingRuns whether the worker has accepted nothing for so long that none of
	 * its runs is left
	 */
	void rejected(long token, boolean nothingRuns) {
		if (token != this.tokens.current()) {
			return;
		}
		if (nothingRuns) {
			this.tokens.skipEpochs();
		}
		else {
			this.tokens.raiseAfterRejection();
		}
		EventLog.warn(nothingRuns ? HostEvent.FENCE_OVERRIDDEN : HostEvent.FENCE_RAISED,
				Field.of("fence", this.tokens.current()), Field.of("former", token),
				Field.of("epoch", this.tokens.epoch()));
	}

	/**
	 * Returns the epoch whose predecessors the worker rejects.
	 * @return the epoch; 0 if it rejects none
	 */
	long fencedEpoch() {
		return FencingTokens.epochOf(this.accepted);
	}

	/**
	 * Returns whether a run that the worker's lists do not name cannot start any more by
	 * an order of an earlier incarnation of the agent. The lists show that only if they
	 * were read with a higher token than that order has.
	 * @return true if the leader may rely on what the lists do not name
	 */
	boolean rejectsLateStarts() {
		return this.startedWithEpoch || this.accepted >= FencingTokens.lowest(this.tokens.epoch());
	}

}
