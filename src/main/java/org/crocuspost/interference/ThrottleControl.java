package org.crocuspost.interference;

import org.crocuspost.platform.worker.AttemptKey;

/**
 * Limits the processor share of attempts.
 */
@FunctionalInterface
public interface ThrottleControl {

	/**
	 * Sets the share of its processor time that an attempt may use. Must not block. If
	 * the change cannot be made, the controller sets the share again in a later interval.
	 * @param attempt the attempt
	 * @param percent the share in percent, 0 to 100
	 */
	void throttle(AttemptKey attempt, int percent);

}
