package org.crocuspost.time;

import java.time.InstantSource;

/**
 * Source of wall-clock and monotonic time.
 */
public interface Clock extends InstantSource {

	/**
	 * Returns monotonic time. Only differences between two values of the same process
	 * have a meaning.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanoTime();

}
