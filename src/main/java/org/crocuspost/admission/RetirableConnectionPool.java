package org.crocuspost.admission;

import java.util.concurrent.Executor;

import ratpack.http.client.HttpClient;

/**
 * Connection pool that can be retired. A retired pool is closed as soon as no request
 * uses it.
 */
final class RetirableConnectionPool {

	private final HttpClient client;

	private final Executor closer;

	private int users;

	private boolean retired;

	/**
	 * Creates a pool that is not retired.
	 * @param client the HTTP client that owns the connections
	 * @param closer runs the closing of the client, which blocks until the event loops
	 * have closed the connections and therefore must not run on an event loop
	 */
	RetirableConnectionPool(HttpClient client, Executor closer) {
		this.client = client;
		this.closer = closer;
	}

	HttpClient client() {
		return this.client;
	}

	synchronized void acquire() {
		this.users++;
	}

	synchronized void release() {
		this.users--;
		closeIfUnused();
	}

	synchronized void retire() {
		this.retired = true;
		closeIfUnused();
	}

	private void closeIfUnused() {
		if (this.retired && this.users == 0) {
			this.closer.execute(this.client::close);
		}
	}

}
