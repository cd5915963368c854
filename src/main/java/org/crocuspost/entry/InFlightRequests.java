package org.crocuspost.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;

/**
 * Counts the requests of callers that have no response yet. Once draining has started,
 * completes a stage when there has been no request for the quiet period.
 */
final class InFlightRequests {

	private final Timer timer;

	private final Duration quietPeriod;

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private int count;

	private boolean draining;

	private Cancellable scheduledCompletion = () -> {
	};

	InFlightRequests(Timer timer, Duration quietPeriod) {
		this.timer = timer;
		this.quietPeriod = quietPeriod;
	}

	synchronized void begin() {
		this.count++;
		this.scheduledCompletion.cancel();
	}

	synchronized void end() {
		this.count--;
		scheduleCompletionIfIdle();
	}

	synchronized boolean draining() {
		return this.draining;
	}

	synchronized int count() {
		return this.count;
	}

	synchronized CompletionStage<Void> drain() {
		this.draining = true;
		scheduleCompletionIfIdle();
		return this.drained;
	}

	private void scheduleCompletionIfIdle() {
		if (this.draining && this.count == 0) {
			this.scheduledCompletion.cancel();
			this.scheduledCompletion = this.timer.schedule(this.quietPeriod, this::completeIfIdle);
		}
	}

	private void completeIfIdle() {
		boolean idle;
		synchronized (this) {
			idle = this.count == 0;
		}
		if (idle) {
			this.drained.complete(null);
		}
	}

}
