package org.crocuspost.time;

import java.time.InstantSource;

/**
 * Source of wall-clock and monotonic time.
 */
public interface Clock extends InstantSource {

	/**
	 * Returns the monotonic time. Only the difference between two values of the same
	 * process is meaningful.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanoTime();

}
