package org.crocuspost.host;

import java.time.Duration;
import java.time.Instant;

/**
 * Fencing tokens of the calls that an agent makes to its worker. The high bits of a token
 * are the epoch of the leader that the agent obeys, the low bits order the incarnations
 * of the agent under one leader.
 *
 * <p>
 * A worker does nothing for a token that is lower than the highest one it has seen, and
 * remembers that one for as long as its runs last. It therefore knows which leaders have
 * been replaced, even if its agent does not. Example: leader 2 replaces leader 1 and
 * extends the lease of a worker. The agent restarts while the store does not answer it,
 * and leader 1, which has not heard of leader 2 either, is the first to reach it. The
 * extension of leader 1 carries a token of epoch 1, which the worker rejects. Tokens that
 * only order the incarnations of the agent would not prevent that extension, and leader
 * 2, which does not hear from the host, would start its tasks elsewhere while their
 * former runs go on.
 */
public final class FencingTokens {

	/**
	 * Number of bits below the epoch. They hold a Unix time in milliseconds until the
	 * year 2109.
	 */
	private static final int NUMBER_BITS = 42;

	private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

	/**
	 * The last epoch with tokens of its own. All later ones share them, so that a worker
	 * does not tell their leaders apart.
	 */
	private static final long MAXIMUM_EPOCH = Long.MAX_VALUE >> NUMBER_BITS;

	/**
	 * Increment after a rejection. The wall clock of a host jumps by less.
	 */
	private static final Duration REJECTION_STEP = Duration.ofSeconds(10);

	private long epoch;

	/**
	 * The low bits of a token that the worker has not rejected. A number that was raised
	 * after rejections is not used under the next leader: it would be ahead of the wall
	 * clock, and the next incarnation of the agent would be rejected.
	 */
	private long number;

	private long token;

	private long skippedEpochs = 1;

	/**
	 * Creates the tokens of an incarnation of the agent that does not know the epoch.
	 * @param start the start of the incarnation. The tokens of one epoch must be higher
	 * than those of all earlier incarnations; the wall clock normally ensures that, and
	 * if it was set back, the worker rejects the token.
	 */
	public FencingTokens(Instant start) {
		this.number = start.toEpochMilli() & NUMBER_MASK;
		this.token = this.number;
	}

	/**
	 * Returns the token of the next call.
	 * @return the token
	 */
	public long current() {
		return this.token;
	}

	/**
	 * Returns the newest epoch that the agent knows.
	 * @return the epoch; 0 if it knows none
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Raises the token to those of a leader, from which on the worker rejects the calls
	 * of all leaders before it.
	 * @param newEpoch the epoch of the leader; has no effect if a newer one is known
	 * @return whether the token has changed
	 */
	public boolean followLeader(long newEpoch) {
		if (newEpoch <= this.epoch) {
			return false;
		}
		this.epoch = newEpoch;
		long raised = lowest(newEpoch) | this.number;
		boolean higher = raised > this.token;
		this.token = Math.max(this.token, raised);
		return higher;
	}

	/**
	 * Raises the token for the next incarnation of the worker, so that a call to the
	 * former one that is delivered late has no effect.
	 */
	public void beginWorkerIncarnation() {
		this.number = Math.min(this.number + 1, NUMBER_MASK);
		raiseWithinEpoch(1);
	}

	/**
	 * Raises the token after the worker has rejected it. It remains below those of the
	 * next epoch, which belong to a leader that may have replaced the one that the agent
	 * obeys.
	 */
	public void raiseAfterRejection() {
		raiseWithinEpoch(REJECTION_STEP.toMillis());
	}

	private void raiseWithinEpoch(long increment) {
		this.token += Math.min(increment, NUMBER_MASK - (this.token & NUMBER_MASK));
	}

	/**
	 * Raises the token above those of the next epoch, and by more epochs with each call.
	 * May be used only if the worker has rejected all calls for so long that none of its
	 * runs is left. Otherwise a worker would be lost until its restart if the epochs of
	 * the leaders started anew, for example with an empty store.
	 */
	public void skipEpochs() {
		long next = epochOf(this.token) + this.skippedEpochs;
		this.skippedEpochs = Math.min(2 * this.skippedEpochs, MAXIMUM_EPOCH);
		this.token = (next <= MAXIMUM_EPOCH) ? lowest(next) | this.number : Long.MAX_VALUE;
	}

	/**
	 * Returns the epoch whose predecessors a worker rejects once it has accepted a token.
	 * @param accepted the token
	 * @return the epoch
	 */
	public static long epochOf(long accepted) {
		return accepted >> NUMBER_BITS;
	}

	/**
	 * Returns the lowest token of an epoch.
	 * @param epoch the epoch
	 * @return the token
	 */
	public static long lowest(long epoch) {
		return Math.min(epoch, MAXIMUM_EPOCH) << NUMBER_BITS;
	}

}
