package org.crocuspost.host;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an agent.
 *
 * @param host the name of the host
 * @param leaseDuration duration of a lease, counted from the lease stamp of a report
 * @param announcementInterval interval at which the worker announces itself
 */
public record HostAgentSettings(String host, Duration leaseDuration, Duration announcementInterval) {

	/**
	 * Interval at which the agent checks whether the worker still answers, and stops the
	 * runs whose start has an unknown outcome until the worker confirms the stop.
	 */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	/**
	 * Maximum time for which the worker waits for the end of a run before it answers a
	 * hold call. Leases, loads and reports are renewed at about this interval.
	 */
	static final Duration HOLD_MAXIMUM_WAIT = Duration.ofMillis(350);

	/**
	 * Pause after an answer, so that ends in quick succession are returned together.
	 */
	static final Duration HOLD_PAUSE = Duration.ofMillis(15);

	/**
	 * Pause after a failed hold call.
	 */
	static final Duration HOLD_RETRY_PAUSE = Duration.ofMillis(150);

	/**
	 * Time without an answer after which the worker receives no new tasks and no leases.
	 */
	static final Duration WORKER_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * Minimum remaining lease for a start. With a shorter one the risk is too high that
	 * the start arrives too late.
	 */
	static final Duration MINIMUM_LEASE = Duration.ofMillis(800);

	/**
	 * Minimum time between two stop calls for the same run.
	 */
	static final Duration STOP_RETRY_INTERVAL = Duration.ofMillis(600);

	/**
	 * Interval of the check whether a worker that announced its departure still answers.
	 * The first check is delayed as well because a worker keeps running for a moment
	 * after the announcement.
	 */
	static final Duration DEPARTURE_CHECK_INTERVAL = Duration.ofMillis(400);

	/**
	 * Time without an answer after which a worker that announced its departure is treated
	 * as departed. While it runs, its answers are slightly more than
	 * {@link #HOLD_MAXIMUM_WAIT} apart.
	 */
	static final Duration DEPARTURE_TIMEOUT = Duration.ofMillis(600);

	/**
	 * Time after which an announced departure is ignored if the worker still answers: the
	 * message referred to an earlier incarnation.
	 */
	static final Duration DEPARTURE_VALIDITY = Duration.ofSeconds(5);

	/**
	 * Time without an accepted call after which the fencing token is raised above those
	 * of newer leaders. It is longer than any lease and than the time for which a former
	 * leader acts without the store, so that nothing is left that the fence protects.
	 */
	static final Duration FENCE_OVERRIDE_DELAY = Duration.ofSeconds(30);

	/**
	 * Maximum number of ends in a worker's list, as specified by the platform. After a
	 * full list there may be more.
	 */
	static final int MAXIMUM_LISTED_ENDS = 500;

	/**
	 * Maximum number of runs whose traits or stop times are kept. When it is exceeded,
	 * the traits of runs that are not running, or all stop times, are removed.
	 */
	static final int MAXIMUM_REMEMBERED_RUNS = 1_000;

	public HostAgentSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(leaseDuration, "leaseDuration");
		Objects.requireNonNull(announcementInterval, "announcementInterval");
	}

}
