package org.crocuspost.retry;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * Completes with the first answer without a fault among several attempts. If there is
 * none, the outcome that tells most of whether the request has run counts.
 */
final class FirstGoodOutcome {

	private final CompletableFuture<RequestOutcome> result = new CompletableFuture<>();

	private int pending;

	private @Nullable RequestOutcome ended;

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
		if (attempt.isCompletedExceptionally()) {
			attempt.whenComplete((outcome, exception) -> this.result.completeExceptionally(exception));
			return;
		}
		RequestOutcome outcome = attempt.join();
		RequestOutcome all;
		boolean last;
		synchronized (this) {
			this.pending--;
			last = this.pending == 0;
			all = (this.ended != null) ? outcome.after(this.ended) : outcome;
			this.ended = all;
		}
		if (good(outcome)) {
			this.result.complete(outcome);
		}
		else if (last) {
			this.result.complete(all);
		}
	}

	private static boolean good(RequestOutcome outcome) {
		return outcome instanceof RequestOutcome.Answered answered && !answered.answer().serverError();
	}

}
