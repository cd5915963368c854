package org.crocuspost.daemon;

/**
 * Started component of a process that can be stopped.
 */
@FunctionalInterface
public interface Daemon {

	/**
	 * Stops gracefully: accepts no new work, completes the work in flight within a
	 * bounded time and returns.
	 */
	void stop();

}
