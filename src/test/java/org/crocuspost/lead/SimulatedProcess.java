package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.time.VirtualTime;

/**
 * Clock and timer of a process on virtual time. Nothing happens in it after its end, and
 * its monotonic clock has an origin of its own.
 */
final class SimulatedProcess implements Clock, Timer {

	private final VirtualTime time;

	private final long originNanos;

	private boolean ended;

	SimulatedProcess(VirtualTime time, Duration offset) {
		this.time = time;
		this.originNanos = time.nanoTime() - offset.toNanos();
	}

	void end() {
		this.ended = true;
	}

	boolean ended() {
		return this.ended;
	}

	@Override
	public long nanoTime() {
		return this.time.nanoTime() - this.originNanos;
	}

	@Override
	public Instant instant() {
		return this.time.instant();
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable action) {
		return this.time.schedule(delay, () -> runUnlessEnded(action));
	}

	@Override
	public Cancellable repeat(Duration delay, Runnable action) {
		return this.time.repeat(delay, () -> runUnlessEnded(action));
	}

	private void runUnlessEnded(Runnable action) {
		if (!this.ended) {
			action.run();
		}
	}

}
