package org.crocuspost.standin.worker;

import java.time.Duration;

/**
 * Switches for the faults of a worker stand-in. Each stays as it is set.
 */
public final class WorkerFaults {

	private boolean lost;

	private boolean unreachable;

	private boolean answersLost;

	private boolean failsEverything;

	private int slowdown = 1;

	private double usageFactor = 1;

	private Duration usageLag = Duration.ofSeconds(5);

	/**
	 * Ends every running attempt without a trace and answers no calls, as a host that is
	 * gone, or brings the host back empty.
	 * @param value whether the host is gone
	 */
	public synchronized void lost(boolean value) {
		this.lost = value;
	}

	/**
	 * Answers no calls while attempts run on.
	 * @param value whether the runtime is unreachable
	 */
	public synchronized void unreachable(boolean value) {
		this.unreachable = value;
	}

	/**
	 * Carries out calls but loses the answers.
	 * @param value whether answers are lost
	 */
	public synchronized void answersLost(boolean value) {
		this.answersLost = value;
	}

	/**
	 * Makes every attempt that starts fail at once.
	 * @param value whether everything fails
	 */
	public synchronized void failsEverything(boolean value) {
		this.failsEverything = value;
	}

	/**
	 * Makes attempts that start now take longer.
	 * @param factor how many times as long
	 */
	public synchronized void slowdown(int factor) {
		this.slowdown = factor;
	}

	/**
	 * Makes running attempts use more than their behavior says.
	 * @param factor how many times as much processor time
	 */
	public synchronized void noisy(double factor) {
		this.usageFactor = factor;
	}

	/**
	 * Sets how far usage reports lag behind.
	 * @param value the lag
	 */
	public synchronized void usageLag(Duration value) {
		this.usageLag = value;
	}

	synchronized boolean isLost() {
		return this.lost;
	}

	synchronized boolean silent() {
		return this.lost || this.unreachable;
	}

	synchronized boolean losesAnswers() {
		return this.answersLost;
	}

	synchronized boolean isFailingEverything() {
		return this.failsEverything;
	}

	synchronized int slowdownFactor() {
		return this.slowdown;
	}

	synchronized double usage() {
		return this.usageFactor;
	}

	synchronized Duration lag() {
		return this.usageLag;
	}

}
