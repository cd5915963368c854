package org.crocuspost.retry;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * Completes with the first answer without a server error among several attempts. If there
 * is none, it completes once all attempts have ended, with their combined outcome: the
 * one with the highest verdict (ran, may have run, not run).
 */
final class FirstSuccessfulOutcome {

	private final CompletableFuture<RequestOutcome> result = new CompletableFuture<>();

	private int pending;

	private @Nullable RequestOutcome combined;

	CompletableFuture<RequestOutcome> stage() {
		return this.result;
	}

	void add(CompletableFuture<RequestOutcome> attempt) {
		synchronized (this) {
			this.pending++;
		}
		attempt.whenComplete((outcome, exception) -> attemptEnded(attempt));
	}

	private void attemptEnded(CompletableFuture<RequestOutcome> attempt) {
		if (attempt.isCompletedExceptionally()) {
			attempt.whenComplete((outcome, exception) -> this.result.completeExceptionally(exception));
			return;
		}
		RequestOutcome outcome = attempt.join();
		RequestOutcome allCombined;
		boolean last;
		synchronized (this) {
			this.pending--;
			last = this.pending == 0;
			allCombined = (this.combined != null) ? outcome.combineWithEarlier(this.combined) : outcome;
			this.combined = allCombined;
		}
		if (successful(outcome)) {
			this.result.complete(outcome);
		}
		else if (last) {
			this.result.complete(allCombined);
		}
	}

	private static boolean successful(RequestOutcome outcome) {
		return outcome instanceof RequestOutcome.Answered answered && !answered.answer().isServerError();
	}

}
