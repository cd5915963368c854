package org.crocuspost.routing;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Circuit breaker for one endpoint. Consecutive failures eject the endpoint: it is sent
 * no requests for a time that doubles with each consecutive ejection, up to a maximum.
 * Then the endpoint is on probation and is sent one request at a time. After several
 * consecutive successes it returns to normal use, with a low share of the requests at
 * first (slow start). This class is not thread-safe.
 */
final class EndpointHealth {

	private static final int FAILURES_TO_EJECT = 5;

	private static final int SUCCESSES_TO_RECOVER = 3;

	private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

	private static final int MAXIMUM_DOUBLINGS = 5;

	private static final Duration SLOW_START = Duration.ofSeconds(3);

	private static final double WEIGHT_OF_NEWEST = 0.1;

	private static final double MINIMUM_SLOW_START_WEIGHT = 0.1;

	private final Clock clock;

	private HealthState state = HealthState.HEALTHY;

	private int consecutiveFailures;

	private int consecutiveSuccesses;

	private int consecutiveEjections;

	private long ejectedUntilNanos;

	private long slowStartedAtNanos;

	private double failureRate;

	EndpointHealth(Clock clock) {
		this.clock = clock;
		this.slowStartedAtNanos = clock.nanoTime();
	}

	void recordSuccess() {
		this.failureRate -= WEIGHT_OF_NEWEST * this.failureRate;
		this.consecutiveFailures = 0;
		this.consecutiveSuccesses++;
		if (state() == HealthState.PROBATION && this.consecutiveSuccesses >= SUCCESSES_TO_RECOVER) {
			this.state = HealthState.HEALTHY;
			this.consecutiveEjections = 0;
			this.slowStartedAtNanos = this.clock.nanoTime();
		}
	}

	void recordFailure() {
		this.failureRate += WEIGHT_OF_NEWEST * (1 - this.failureRate);
		this.consecutiveSuccesses = 0;
		this.consecutiveFailures++;
		HealthState current = state();
		if (current == HealthState.PROBATION
				|| (current == HealthState.HEALTHY && this.consecutiveFailures >= FAILURES_TO_EJECT)) {
			eject();
		}
	}

	private void eject() {
		long duration = FIRST_EJECTION.toNanos() << Math.min(this.consecutiveEjections, MAXIMUM_DOUBLINGS);
		this.consecutiveEjections++;
		this.state = HealthState.EJECTED;
		this.ejectedUntilNanos = this.clock.nanoTime() + duration;
	}

	HealthState state() {
		if (this.state == HealthState.EJECTED && this.clock.nanoTime() - this.ejectedUntilNanos >= 0) {
			this.state = HealthState.PROBATION;
			this.consecutiveSuccesses = 0;
		}
		return this.state;
	}

	/**
	 * Returns the fraction of recent requests that failed, as an exponentially weighted
	 * average.
	 * @return a value from 0 to 1
	 */
	double failureRate() {
		return this.failureRate;
	}

	/**
	 * Returns the fraction of its normal share of requests that the endpoint is sent
	 * during slow start.
	 * @return a value above 0 and up to 1, which is reached at the end of slow start
	 */
	double slowStartWeight() {
		double age = this.clock.nanoTime() - this.slowStartedAtNanos;
		return Math.max(MINIMUM_SLOW_START_WEIGHT, Math.min(1, age / SLOW_START.toNanos()));
	}

}
