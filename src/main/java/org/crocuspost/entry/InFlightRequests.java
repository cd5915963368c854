package org.crocuspost.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;

/**
 * Counts the requests of callers that have no answer yet, and says when a server that is
 * being stopped has had none for some time.
 */
final class InFlightRequests {

	private final Timer timer;

	private final Duration quietTime;

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private int count;

	private boolean draining;

	private Cancellable quiet = () -> {
	};

	InFlightRequests(Timer timer, Duration quietTime) {
		this.timer = timer;
		this.quietTime = quietTime;
	}

	synchronized void begin() {
		this.count++;
		this.quiet.cancel();
	}

	synchronized void end() {
		this.count--;
		watch();
	}

	synchronized boolean draining() {
		return this.draining;
	}

	synchronized int count() {
		return this.count;
	}

	synchronized CompletionStage<Void> drain() {
		this.draining = true;
		watch();
		return this.drained;
	}

	private void watch() {
		if (this.draining && this.count == 0) {
			this.quiet.cancel();
			this.quiet = this.timer.schedule(this.quietTime, this::completeIfQuiet);
		}
	}

	private void completeIfQuiet() {
		boolean done;
		synchronized (this) {
			done = this.count == 0;
		}
		if (done) {
			this.drained.complete(null);
		}
	}

}
