package org.crocuspost.platform.hosted;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests in flight, so that a stopping process can wait for them.
 */
final class InFlightRequests {

	private final AtomicInteger count = new AtomicInteger();

	private volatile boolean closing;

	void begin() {
		this.count.incrementAndGet();
	}

	void end() {
		this.count.decrementAndGet();
	}

	int count() {
		return this.count.get();
	}

	/**
	 * Marks the process as closing. From now on, responses ask callers to close their
	 * connections.
	 */
	void close() {
		this.closing = true;
	}

	boolean closing() {
		return this.closing;
	}

}
