package org.crocuspost.retry;

import java.util.concurrent.CompletableFuture;

/**
 * Completes with the first answer without a fault among several attempts, or with the
 * last outcome if there is none.
 */
final class FirstGoodOutcome {

	private final CompletableFuture<RequestOutcome> result = new CompletableFuture<>();

	private int pending;

	CompletableFuture<RequestOutcome> stage() {
		return this.result;
	}

	void add(CompletableFuture<RequestOutcome> attempt) {
		synchronized (this) {
			this.pending++;
		}
		attempt.whenComplete((outcome, exception) -> end(attempt));
	}

	private void end(CompletableFuture<RequestOutcome> attempt) {
		boolean last;
		synchronized (this) {
			this.pending--;
			last = this.pending == 0;
		}
		if (attempt.isCompletedExceptionally()) {
			attempt.whenComplete((outcome, exception) -> this.result.completeExceptionally(exception));
		}
		else if (last || good(attempt.join())) {
			this.result.complete(attempt.join());
		}
	}

	private static boolean good(RequestOutcome outcome) {
		return outcome instanceof RequestOutcome.Answered answered && !answered.answer().serverError();
	}

}
