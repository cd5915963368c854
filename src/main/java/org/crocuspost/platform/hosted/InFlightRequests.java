package org.crocuspost.platform.hosted;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;

/**
 * Counts the requests in flight, so that a stopping process can wait for them, and knows
 * the connections of callers that have none.
 */
final class InFlightRequests {

	private final AtomicInteger count = new AtomicInteger();

	private final Map<Channel, Runnable> lastRequests = new ConcurrentHashMap<>();

	private final Set<Channel> idleConnections = ConcurrentHashMap.newKeySet();

	private volatile boolean closing;

	/**
	 * Records a request that was read. Must be called on the event loop of the
	 * connection.
	 * @param connection the connection of the caller
	 * @return an action to run when the response was sent or has failed; only its first
	 * run has an effect
	 */
	Runnable begin(Channel connection) {
		this.count.incrementAndGet();
		this.idleConnections.remove(connection);
		AtomicBoolean ended = new AtomicBoolean();
		Runnable end = () -> {
			if (ended.compareAndSet(false, true)) {
				end(connection);
			}
		};
		if (this.lastRequests.put(connection, end) == null) {
			connection.closeFuture().addListener((closed) -> handleClosed(connection));
		}
		return end;
	}

	private void handleClosed(Channel connection) {
		// A response to a caller that has left may never be reported as sent.
		Runnable end = this.lastRequests.remove(connection);
		if (end != null) {
			end.run();
		}
		this.idleConnections.remove(connection);
	}

	private void end(Channel connection) {
		this.count.decrementAndGet();
		if (!this.lastRequests.containsKey(connection)) {
			return;
		}
		this.idleConnections.add(connection);
		if (this.closing) {
			closeIfIdle(connection);
		}
	}

	int count() {
		return this.count.get();
	}

	/**
	 * Marks the process as closing: from now on, responses ask callers to close their
	 * connections. Closes the connections without a request in flight, since callers get
	 * no response that could tell them.
	 */
	void close() {
		this.closing = true;
		closeIdleConnections();
	}

	/**
	 * Closes the connections that have carried a request and have none in flight.
	 */
	void closeIdleConnections() {
		this.idleConnections.forEach(this::closeIfIdle);
	}

	private void closeIfIdle(Channel connection) {
		// On the event loop of the connection, a request that was read is not missed.
		connection.eventLoop().execute(() -> {
			if (this.idleConnections.remove(connection)) {
				connection.close();
			}
		});
	}

	boolean closing() {
		return this.closing;
	}

}
