package org.crocuspost.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Clock and timer whose time advances only when {@link #advance(Duration)} is called.
 * Used by tests and by benchmarks of scheduling decisions. Not safe for use by several
 * threads.
 */
public final class VirtualTime implements Clock, Timer {

	private final Instant origin;

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::sequence));

	private long nanos;

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
		Entry entry = new Entry(this.nanos + Math.max(0, delay.toNanos()), this.sequence++, action);
		this.entries.add(entry);
		return () -> this.entries.remove(entry);
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
		while (!this.entries.isEmpty() && this.entries.peek().dueNanos() <= end) {
			Entry entry = this.entries.remove();
			this.nanos = Math.max(this.nanos, entry.dueNanos());
			entry.action().run();
		}
		this.nanos = end;
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
