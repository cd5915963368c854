package org.crocuspost.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.crocuspost.time.Clock;

/**
 * Circuit breaker. It is closed until several calls in a row have failed, then open for a
 * time that grows with every failed probe. When that time has passed a single call is let
 * through as a probe: its success closes the breaker, its failure opens it again.
 *
 * <p>
 * Without the single probe, all calls that wait for a slow store would be let through
 * together each time the breaker closes, and would bring the store down again.
 */
public final class CircuitBreaker {

	private final int failuresToOpen;

	private final Backoff backoff;

	private final Clock clock;

	private final RandomGenerator random;

	private State state = State.CLOSED;

	private int failures;

	private int openings;

	private long openedAt;

	private Duration openFor = Duration.ZERO;

	/**
	 * Creates a closed breaker.
	 * @param settings the bounds
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
	 * Asks whether a call may be made. Whoever gets true reports the outcome by
	 * {@link #recordSuccess()} or {@link #recordFailure()}.
	 * @return true if the call may be made
	 */
	public synchronized boolean tryAcquirePermission() {
		if (this.state == State.OPEN && this.clock.nanoTime() - this.openedAt >= this.openFor.toNanos()) {
			this.state = State.PROBING;
			return true;
		}
		return this.state == State.CLOSED;
	}

	/**
	 * Reports that a call was answered.
	 */
	public synchronized void recordSuccess() {
		this.state = State.CLOSED;
		this.failures = 0;
		this.openings = 0;
	}

	/**
	 * Reports that a call was not answered.
	 */
	public synchronized void recordFailure() {
		this.failures++;
		if (this.state == State.PROBING || (this.state == State.CLOSED && this.failures >= this.failuresToOpen)) {
			open();
		}
	}

	private void open() {
		this.state = State.OPEN;
		this.openedAt = this.clock.nanoTime();
		this.openFor = this.backoff.delay(this.openings, this.random);
		this.openings++;
	}

	/**
	 * Returns the state.
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
		 * Calls are made.
		 */
		CLOSED,

		/**
		 * No call is made.
		 */
		OPEN,

		/**
		 * One call is being made to learn whether the store has recovered.
		 */
		PROBING

	}

}
