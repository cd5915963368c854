package org.crocuspost.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.crocuspost.time.Clock;

/**
 * Circuit breaker for the calls to a store. It opens after several consecutive failures
 * and stays open for a time that grows with every failed probe. Then it allows a single
 * call as a probe: if the probe succeeds the breaker closes, if it fails the breaker
 * opens again.
 *
 * <p>
 * Without the single probe, all calls that wait for a slow store would be allowed at the
 * same time whenever the breaker closes, and would make the store fail again.
 */
public final class CircuitBreaker {

	private final int failuresToOpen;

	private final Backoff backoff;

	private final Clock clock;

	private final RandomGenerator random;

	private State state = State.CLOSED;

	private int failures;

	private int consecutiveOpenings;

	private long openedAt;

	private Duration openDuration = Duration.ZERO;

	/**
	 * Creates a closed breaker.
	 * @param settings the failure threshold and the backoff
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public CircuitBreaker(ProtectionSettings settings, Clock clock, RandomGenerator random) {
		this.failuresToOpen = settings.failuresToOpen();
		this.backoff = settings.backoff();
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Requests permission for a call. If it is granted, the caller must report the
	 * outcome with {@link #recordSuccess()} or {@link #recordFailure()}.
	 * @return true if the call may be made
	 */
	public synchronized boolean tryAcquirePermission() {
		if (this.state == State.OPEN && this.clock.nanoTime() - this.openedAt >= this.openDuration.toNanos()) {
			this.state = State.HALF_OPEN;
			return true;
		}
		return this.state == State.CLOSED;
	}

	/**
	 * Records that the store answered a call.
	 */
	public synchronized void recordSuccess() {
		this.state = State.CLOSED;
		this.failures = 0;
		this.consecutiveOpenings = 0;
	}

	/**
	 * Records that the store did not answer a call.
	 */
	public synchronized void recordFailure() {
		this.failures++;
		if (this.state == State.HALF_OPEN || (this.state == State.CLOSED && this.failures >= this.failuresToOpen)) {
			open();
		}
	}

	private void open() {
		this.state = State.OPEN;
		this.openedAt = this.clock.nanoTime();
		this.openDuration = this.backoff.delay(this.consecutiveOpenings, this.random);
		this.consecutiveOpenings++;
	}

	/**
	 * Returns the state of the breaker.
	 * @return the state
	 */
	public synchronized State state() {
		return this.state;
	}

	/**
	 * State of a circuit breaker.
	 */
	public enum State {

		/**
		 * Calls are allowed.
		 */
		CLOSED,

		/**
		 * Calls are refused.
		 */
		OPEN,

		/**
		 * One call is in progress that probes whether the store has recovered; other
		 * calls are refused.
		 */
		HALF_OPEN

	}

}
