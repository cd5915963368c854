package org.crocuspost.host;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an agent.
 *
 * @param host the name of the host
 * @param leaseDuration how long a lease counts from the stamp of a report
 */
public record HostAgentSettings(String host, Duration leaseDuration) {

	/**
	 * Time between two looks at the state of the agent.
	 */
	static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

	/**
	 * How long the worker waits for an end. Leases, loads and reports are renewed as
	 * often.
	 */
	static final Duration HOLD_PATIENCE = Duration.ofMillis(350);

	/**
	 * Pause after an answer, so that ends that come in a row are gathered.
	 */
	static final Duration HOLD_PAUSE = Duration.ofMillis(15);

	/**
	 * Pause after a call that failed.
	 */
	static final Duration HOLD_RETRY_PAUSE = Duration.ofMillis(150);

	/**
	 * Silence after which the worker gets no new tasks and no leases.
	 */
	static final Duration WORKER_SILENCE = Duration.ofMillis(1_500);

	/**
	 * A start with a shorter lease is not worth the risk that it arrives too late.
	 */
	static final Duration SHORTEST_LEASE = Duration.ofMillis(800);

	/**
	 * Pause before the same run is stopped again.
	 */
	static final Duration STOP_REPETITION = Duration.ofMillis(600);

	/**
	 * A worker runs on for a moment after it has said that it leaves; also the time
	 * between two looks whether it still answers.
	 */
	static final Duration DEPARTURE_MARGIN = Duration.ofMillis(400);

	/**
	 * Silence after which a worker that said that it leaves has left. While it lives, its
	 * answers are {@link #HOLD_PATIENCE} and a little more apart.
	 */
	static final Duration DEPARTURE_SILENCE = Duration.ofMillis(600);

	/**
	 * Time after which a worker that still answers did not mean its present life when it
	 * said that it leaves.
	 */
	static final Duration DEPARTURE_VALIDITY = Duration.ofSeconds(5);

	/**
	 * Step by which the fencing token rises; the wall clock of a host jumps by less.
	 */
	static final long FENCE_STEP = 10_000;

	/**
	 * The most ends that a worker lists at a time, by the platform's pages. Behind a full
	 * list there may be more.
	 */
	static final int LISTED_ENDS = 500;

	/**
	 * Runs whose traits are remembered before old ones are forgotten.
	 */
	static final int REMEMBERED_RUNS = 1_000;

	public HostAgentSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(leaseDuration, "leaseDuration");
	}

}
