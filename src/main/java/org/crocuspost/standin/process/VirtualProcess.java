package org.crocuspost.standin.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;

/**
 * Process in virtual time that can be paused, resumed and killed. All its actions run on
 * its timer. Actions that are due during a pause run when the process is resumed.
 */
public final class VirtualProcess implements Timer {

	private final Timer timer;

	private final List<Runnable> postponedActions = new ArrayList<>();

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
	 * Resumes the process and runs the actions that became due during the pause.
	 */
	public void resume() {
		this.paused = false;
		List<Runnable> due = List.copyOf(this.postponedActions);
		this.postponedActions.clear();
		due.forEach(this::run);
	}

	/**
	 * Kills the process. None of its actions run any more.
	 */
	public void kill() {
		this.killed = true;
		this.postponedActions.clear();
	}

	/**
	 * Returns whether the process was killed.
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
			this.postponedActions.add(action);
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
