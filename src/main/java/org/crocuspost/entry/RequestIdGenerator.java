package org.crocuspost.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request IDs that consist of the incarnation of this process and a counter.
 */
final class RequestIdGenerator {

	private static final int RADIX = 36;

	private final String incarnation;

	private final AtomicLong counter = new AtomicLong();

	RequestIdGenerator(String incarnation) {
		this.incarnation = incarnation;
	}

	String next() {
		return this.incarnation + "-" + Long.toString(this.counter.incrementAndGet(), RADIX);
	}

}
