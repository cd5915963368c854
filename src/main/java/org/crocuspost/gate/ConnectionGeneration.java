package org.crocuspost.gate;

import ratpack.http.client.HttpClient;

/**
 * A pool of connections that can be retired: it is closed once no request uses it.
 */
final class ConnectionGeneration {

	private final HttpClient client;

	private int users;

	private boolean retired;

	ConnectionGeneration(HttpClient client) {
		this.client = client;
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
			this.client.close();
		}
	}

}
