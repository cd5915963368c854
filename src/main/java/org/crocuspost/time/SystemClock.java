package org.crocuspost.time;

import java.time.Instant;

/**
 * Clock of the operating system.
 */
public final class SystemClock implements Clock {

	@Override
	public Instant instant() {
		return Instant.now();
	}

	@Override
	public long nanoTime() {
		return System.nanoTime();
	}

}
