package org.crocuspost.lead;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Decides when the leader may make the next scheduling pass, so that passes take a
 * bounded share of its time.
 *
 * <p>
 * The load pattern is a leader with a weak processor that has restarted with all hosts: a
 * pass over thousands of waiting tasks takes half a second, and each report and each
 * answer of the store asks for another one. If a pass followed each of them, the answers
 * that confirm the leadership and the view of the operator's rows would be read seconds
 * late, and what a pass decides would be out of date before it is recorded. Fewer passes
 * decide as much, since each covers all that has arrived. A fixed interval would delay
 * the starts of a leader whose passes take a millisecond.
 */
final class PassPacer {

	/**
	 * Time between two passes in relation to the duration of the earlier one.
	 */
	private static final int PAUSE_FACTOR = 1;

	/**
	 * Maximum time between two passes. A single pass may have taken long because the
	 * process was suspended.
	 */
	private static final Duration MAXIMUM_PAUSE = Duration.ofMillis(900);

	private final Clock clock;

	private long nextPassNanos;

	PassPacer(Clock clock) {
		this.clock = clock;
		this.nextPassNanos = clock.nanoTime();
	}

	/**
	 * Returns whether the next pass may be made.
	 * @return true if the pause after the last one is over
	 */
	boolean due() {
		return this.clock.nanoTime() - this.nextPassNanos >= 0;
	}

	/**
	 * Makes a pass.
	 * @param pass the pass
	 */
	void run(Runnable pass) {
		long start = this.clock.nanoTime();
		pass.run();
		long end = this.clock.nanoTime();
		this.nextPassNanos = end + Math.min(PAUSE_FACTOR * (end - start), MAXIMUM_PAUSE.toNanos());
	}

}
