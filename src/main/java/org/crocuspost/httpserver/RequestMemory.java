package org.crocuspost.httpserver;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory that the requests of all connections of a process take while they are
 * read and answered. Must be used on the event loop of the servers only.
 */
public final class RequestMemory {

	/**
	 * Share of the maximum heap that requests may take.
	 */
	private static final int HEAP_DIVISOR = 8;

	private final long maximumBytes;

	private final Set<HttpConnection> connections = new LinkedHashSet<>();

	private long bytes;

	/**
	 * Creates a budget.
	 * @param maximumBytes the largest sum, in bytes
	 */
	public RequestMemory(long maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Creates a budget that fits the maximum heap of the process.
	 * @return the budget
	 */
	public static RequestMemory ofProcess() {
		return new RequestMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	void add(HttpConnection connection) {
		this.connections.add(connection);
	}

	void remove(HttpConnection connection) {
		if (this.connections.remove(connection)) {
			this.bytes -= connection.heldBytes();
		}
	}

	/**
	 * Records that a connection holds more or fewer bytes. If the budget is exceeded, the
	 * connections whose unfinished requests hold most give way.
	 * @param change the change, in bytes
	 */
	void change(long change) {
		this.bytes += change;
		while (this.bytes > this.maximumBytes) {
			HttpConnection largest = null;
			for (HttpConnection connection : this.connections) {
				if (connection.unfinished() && (largest == null || connection.heldBytes() > largest.heldBytes())) {
					largest = connection;
				}
			}
			if (largest == null || largest.heldBytes() == 0) {
				return;
			}
			largest.giveWay();
		}
	}

}
