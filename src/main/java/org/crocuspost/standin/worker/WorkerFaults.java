package org.crocuspost.standin.worker;

import java.time.Duration;

/**
 * Faults that a worker stand-in simulates. Each setting stays in force until it is
 * changed.
 */
public final class WorkerFaults {

	private boolean hostLost;

	private boolean unreachable;

	private boolean answersLost;

	private boolean failsEverything;

	private int slowdown = 1;

	private double usageFactor = 1;

	private Duration usageLag = Duration.ofSeconds(5);

	/**
	 * Sets whether the host is lost. A lost host answers no calls. Its attempts are
	 * discarded without a trace by {@link WorkerStandIn#loseHost()}, so it returns empty.
	 * @param value whether the host is lost
	 */
	public synchronized void hostLost(boolean value) {
		this.hostLost = value;
	}

	/**
	 * Sets whether the runtime is unreachable: it answers no calls, while attempts
	 * continue to run.
	 * @param value whether the runtime is unreachable
	 */
	public synchronized void unreachable(boolean value) {
		this.unreachable = value;
	}

	/**
	 * Sets whether calls are executed, but their answers are lost.
	 * @param value whether answers are lost
	 */
	public synchronized void answersLost(boolean value) {
		this.answersLost = value;
	}

	/**
	 * Sets whether every attempt that starts from now on fails immediately.
	 * @param value whether all attempts fail
	 */
	public synchronized void failsEverything(boolean value) {
		this.failsEverything = value;
	}

	/**
	 * Sets a factor for the run time of attempts that start from now on.
	 * @param factor the multiple of the run time
	 */
	public synchronized void slowdown(int factor) {
		this.slowdown = factor;
	}

	/**
	 * Sets a factor for the processor use of running attempts, relative to the use in
	 * their behavior.
	 * @param factor the multiple of the processor use
	 */
	public synchronized void multiplyUsage(double factor) {
		this.usageFactor = factor;
	}

	/**
	 * Sets the age of the data in usage reports.
	 * @param value the lag
	 */
	public synchronized void usageLag(Duration value) {
		this.usageLag = value;
	}

	synchronized boolean isLost() {
		return this.hostLost;
	}

	synchronized boolean isUnresponsive() {
		return this.hostLost || this.unreachable;
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

	synchronized double usageFactor() {
		return this.usageFactor;
	}

	synchronized Duration lag() {
		return this.usageLag;
	}

}
