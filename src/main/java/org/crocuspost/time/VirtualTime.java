package org.crocuspost.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Clock and timer whose time advances only when {@link #advance(Duration)} is called.
 * Used by tests and by benchmarks of scheduling decisions. Actions can be scheduled and
 * cancelled by any thread, since network code under test runs on its own event loop. One
 * thread advances the time and runs all actions.
 */
public final class VirtualTime implements Clock, Timer {

	private final Instant origin;

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::sequence));

	private volatile long nanos;

	private long sequence;

	private Duration wallClockOffset = Duration.ZERO;

	/**
	 * Creates a clock with a given start time.
	 * @param origin the wall-clock time at monotonic time zero
	 */
	public VirtualTime(Instant origin) {
		this.origin = origin;
	}

	@Override
	public Instant instant() {
		return this.origin.plusNanos(this.nanos).plus(this.wallClockOffset);
	}

	@Override
	public long nanoTime() {
		return this.nanos;
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable action) {
		synchronized (this.entries) {
			Entry entry = new Entry(this.nanos + Math.max(0, delay.toNanos()), this.sequence++, action);
			this.entries.add(entry);
			return () -> cancel(entry);
		}
	}

	private void cancel(Entry entry) {
		synchronized (this.entries) {
			this.entries.remove(entry);
		}
	}

	@Override
	public Cancellable repeat(Duration delay, Runnable action) {
		Repetition repetition = new Repetition(delay, action);
		repetition.scheduleNext();
		return repetition;
	}

	/**
	 * Advances the time and runs each action that becomes due, in order of due time.
	 * Actions with the same due time run in the order in which they were scheduled.
	 * @param duration the duration by which to advance
	 */
	public void advance(Duration duration) {
		long end = this.nanos + duration.toNanos();
		for (Entry entry = removeDue(end); entry != null; entry = removeDue(end)) {
			this.nanos = Math.max(this.nanos, entry.dueNanos());
			entry.action().run();
		}
		this.nanos = end;
	}

	private @Nullable Entry removeDue(long end) {
		synchronized (this.entries) {
			Entry next = this.entries.peek();
			return (next != null && next.dueNanos() <= end) ? this.entries.remove() : null;
		}
	}

	/**
	 * Moves the wall clock without the monotonic clock, as a suspension of the host or a
	 * correction of the clock does. No action becomes due.
	 * @param duration the duration; negative to set the wall clock back
	 */
	public void shiftWallClock(Duration duration) {
		this.wallClockOffset = this.wallClockOffset.plus(duration);
	}

	private record Entry(long dueNanos, long sequence, Runnable action) {
	}

	private final class Repetition implements Cancellable {

		private final Duration delay;

		private final Runnable action;

		private Cancellable next = () -> {
		};

		private boolean cancelled;

		private Repetition(Duration delay, Runnable action) {
			this.delay = delay;
			this.action = action;
		}

		private void scheduleNext() {
			this.next = schedule(this.delay, this::run);
		}

		private void run() {
			this.action.run();
			if (!this.cancelled) {
				scheduleNext();
			}
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			this.next.cancel();
		}

	}

}
