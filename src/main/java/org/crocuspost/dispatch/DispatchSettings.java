package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Times and thresholds of the decisions.
 *
 * @param leaseDuration how long a worker goes on after the last grant; the platform's
 * upper bound
 * @param retention how long the state of an ended job is kept
 * @param remotePenalty factor on the run time away from the data
 */
public record DispatchSettings(Duration leaseDuration, Duration retention, double remotePenalty) {

	/**
	 * A worker's clock may be so much slower than ours, by the platform's pages.
	 */
	static final double SLOWEST_CLOCK = 1.02;

	/**
	 * Allowance for the answer that carries a grant to travel and for timers that fire
	 * late.
	 */
	static final Duration LAPSE_MARGIN = Duration.ofMillis(300);

	/**
	 * Ended jobs are kept for a while longer than callers may ask for them.
	 */
	public static final Duration RETENTION_MARGIN = Duration.ofSeconds(30);

	/**
	 * Span that a worker's report of load covers, by the platform's pages.
	 */
	static final Duration LOAD_REPORT_SPAN = Duration.ofMillis(500);

	/**
	 * Pace below which a filler that can resume elsewhere is taken off a worker that
	 * serves users.
	 */
	static final int CRAWLING_PACE = 45;

	/**
	 * Time for which no filler of the same image is tried on a worker again after one was
	 * taken off. The load of a service changes within seconds.
	 */
	static final Duration CROWDED = Duration.ofSeconds(2);

	/**
	 * Time without any running task after which a job takes any worker with room.
	 */
	static final Duration STARVATION = Duration.ofMillis(1_200);

	/**
	 * Share of the reserved processor of a service's workers below which a job must not
	 * wait without any run; the platform allows a half.
	 */
	static final double ROOMY_SHARE = 0.6;

	/**
	 * Share of its request below which a filler is not worth starting: at half speed it
	 * misses an objective of twice its run time.
	 */
	static final double FILLER_SHARE = 0.6;

	/**
	 * A step longer than this is not done soon even without waiting; used when a job
	 * gives no estimate.
	 */
	static final Duration DEFAULT_ESTIMATE = Duration.ofSeconds(2);

	/**
	 * Failed ends in a row, with no good end between them, after which a worker is
	 * suspected. One failure is common, since a few tasks in a hundred fail by
	 * themselves.
	 */
	static final int SUSPICIOUS_FAILURES = 2;

	/**
	 * Shortest time for which a suspected worker gets no new task.
	 */
	static final Duration SHORTEST_QUARANTINE = Duration.ofSeconds(2);

	/**
	 * Longest time for which a suspected worker gets no new task.
	 */
	static final Duration LONGEST_QUARANTINE = Duration.ofSeconds(8);

	/**
	 * Share of its request that a lasting task is taken to use, for the room of fillers.
	 * Lasting tasks are sized for their peaks.
	 */
	static final double LASTING_USE = 0.6;

	/**
	 * Returns when the lease of a worker has lapsed for certain.
	 * @return the time since the last grant was sent
	 */
	public Duration leaseTimeout() {
		return Duration.ofMillis((long) (this.leaseDuration.toMillis() * SLOWEST_CLOCK)).plus(LAPSE_MARGIN);
	}

}
