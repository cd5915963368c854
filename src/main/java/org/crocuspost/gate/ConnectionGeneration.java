package org.crocuspost.gate;

import java.util.concurrent.Executor;

import ratpack.http.client.HttpClient;

/**
 * A pool of connections that can be retired: it is closed once no request uses it.
 */
final class ConnectionGeneration {

	private final HttpClient client;

	private final Executor closer;

	private int users;

	private boolean retired;

	/**
	 * Creates a generation.
	 * @param client the client that owns the pool
	 * @param closer closes the client; closing blocks until the event loops have closed
	 * the connections, so it must not run on one of them
	 */
	ConnectionGeneration(HttpClient client, Executor closer) {
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
