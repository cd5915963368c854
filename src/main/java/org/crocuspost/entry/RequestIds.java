package org.crocuspost.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Draws identities for requests: the incarnation of this process and a counter.
 */
final class RequestIds {

	private static final int RADIX = 36;

	private final String incarnation;

	private final AtomicLong counter = new AtomicLong();

	RequestIds(String incarnation) {
		this.incarnation = incarnation;
	}

	String next() {
		return this.incarnation + "-" + Long.toString(this.counter.incrementAndGet(), RADIX);
	}

}
