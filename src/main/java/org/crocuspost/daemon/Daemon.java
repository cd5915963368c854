package org.crocuspost.daemon;

/**
 * A process part that has been started and can be stopped.
 */
@FunctionalInterface
public interface Daemon {

	/**
	 * Stops gracefully: takes no new work, finishes what is in flight within a bound and
	 * returns.
	 */
	void stop();

}
