package org.crocuspost.standin.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;

/**
 * A process in virtual time that can be paused, resumed and killed. Everything that it
 * does runs on its timer. What falls due during a pause runs at the end of the pause.
 */
public final class VirtualProcess implements Timer {

	private final Timer timer;

	private final List<Runnable> postponed = new ArrayList<>();

	private boolean paused;

	private boolean killed;

	/**
	 * Creates a running process.
	 * @param timer the timer of the virtual time
	 */
	public VirtualProcess(Timer timer) {
		this.timer = timer;
	}

	/**
	 * Pauses the process.
	 */
	public void pause() {
		this.paused = true;
	}

	/**
	 * Resumes the process.
	 */
	public void resume() {
		this.paused = false;
		List<Runnable> due = List.copyOf(this.postponed);
		this.postponed.clear();
		due.forEach(this::run);
	}

	/**
	 * Kills the process. Nothing of it runs any more.
	 */
	public void kill() {
		this.killed = true;
		this.postponed.clear();
	}

	/**
	 * Says whether the process was killed.
	 * @return true if it was
	 */
	public boolean killed() {
		return this.killed;
	}

	/**
	 * Runs an action in the process, now or at the end of a pause.
	 * @param action the action
	 */
	public void run(Runnable action) {
		if (this.killed) {
			return;
		}
		if (this.paused) {
			this.postponed.add(action);
			return;
		}
		action.run();
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable action) {
		return this.timer.schedule(delay, () -> run(action));
	}

	@Override
	public Cancellable repeat(Duration delay, Runnable action) {
		Repetition repetition = new Repetition(delay, action);
		repetition.next();
		return () -> repetition.cancelled = true;
	}

	private final class Repetition {

		private final Duration delay;

		private final Runnable action;

		private boolean cancelled;

		private Repetition(Duration delay, Runnable action) {
			this.delay = delay;
			this.action = action;
		}

		private void next() {
			schedule(this.delay, this::run);
		}

		private void run() {
			if (this.cancelled) {
				return;
			}
			this.action.run();
			next();
		}

	}

}
