package org.crocuspost.platform.hosted;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests in flight, so that a process that ends can finish them.
 */
final class Requests {

	private final AtomicInteger inFlight = new AtomicInteger();

	private volatile boolean closing;

	void begin() {
		this.inFlight.incrementAndGet();
	}

	void end() {
		this.inFlight.decrementAndGet();
	}

	int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Asks callers to close their connections from now on.
	 */
	void close() {
		this.closing = true;
	}

	boolean closing() {
		return this.closing;
	}

}
