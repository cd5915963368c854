package org.crocuspost.routing;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Circuit breaker for one endpoint. Consecutive failures eject the endpoint; the time
 * doubles with each ejection in a row. Then the endpoint is on probation, one request at
 * a time, and after some successes it is given requests again, few at first (slow start).
 * Not safe for use by several threads.
 */
final class EndpointHealth {

	private static final int FAILURES_TO_EJECT = 5;

	private static final int SUCCESSES_TO_RETURN = 3;

	private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

	private static final int MAXIMUM_DOUBLINGS = 5;

	private static final Duration SLOW_START = Duration.ofSeconds(3);

	private static final double WEIGHT_OF_NEWEST = 0.1;

	private static final double LOWEST_START_WEIGHT = 0.1;

	private final Clock clock;

	private HealthState state = HealthState.HEALTHY;

	private int failuresInRow;

	private int successesInRow;

	private int ejections;

	private long ejectedUntil;

	private long startedAt;

	private double failureRate;

	EndpointHealth(Clock clock) {
		this.clock = clock;
		this.startedAt = clock.nanoTime();
	}

	void succeeded() {
		this.failureRate -= WEIGHT_OF_NEWEST * this.failureRate;
		this.failuresInRow = 0;
		this.successesInRow++;
		if (state() == HealthState.PROBATION && this.successesInRow >= SUCCESSES_TO_RETURN) {
			this.state = HealthState.HEALTHY;
			this.ejections = 0;
			this.startedAt = this.clock.nanoTime();
		}
	}

	void failed() {
		this.failureRate += WEIGHT_OF_NEWEST * (1 - this.failureRate);
		this.successesInRow = 0;
		this.failuresInRow++;
		HealthState now = state();
		if (now == HealthState.PROBATION || (now == HealthState.HEALTHY && this.failuresInRow >= FAILURES_TO_EJECT)) {
			eject();
		}
	}

	private void eject() {
		long length = FIRST_EJECTION.toNanos() << Math.min(this.ejections, MAXIMUM_DOUBLINGS);
		this.ejections++;
		this.state = HealthState.EJECTED;
		this.ejectedUntil = this.clock.nanoTime() + length;
	}

	HealthState state() {
		if (this.state == HealthState.EJECTED && this.clock.nanoTime() - this.ejectedUntil >= 0) {
			this.state = HealthState.PROBATION;
			this.successesInRow = 0;
		}
		return this.state;
	}

	/**
	 * Returns the share of recent requests that failed.
	 * @return a value from 0 to 1
	 */
	double failureRate() {
		return this.failureRate;
	}

	/**
	 * Returns how much of its share the endpoint is given during slow start.
	 * @return a value above 0 and up to 1
	 */
	double startWeight() {
		double age = this.clock.nanoTime() - this.startedAt;
		return Math.max(LOWEST_START_WEIGHT, Math.min(1, age / SLOW_START.toNanos()));
	}

}
