package org.crocuspost.retry;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.http.HttpResponse;

/**
 * Outcome of a request or of one of its attempts. Each kind holds exactly the data that
 * its verdict allows: the answer, or the failure.
 */
public sealed interface RequestOutcome {

	/**
	 * Returns whether the request has run.
	 * @return the verdict: not run, may have run or ran
	 */
	Verdict verdict();

	/**
	 * Combines this outcome of the last attempt with that of the earlier attempts. A
	 * refused attempt does not override an earlier one that has run or may have run.
	 * @param earlier the combined outcome of the earlier attempts
	 * @return the outcome of the request
	 */
	default RequestOutcome combineWithEarlier(RequestOutcome earlier) {
		return (verdict().compareTo(earlier.verdict()) < 0) ? earlier : this;
	}

	/**
	 * Creates the outcome that corresponds to the verdict of a failure.
	 * @param failure the failure
	 * @return the outcome
	 */
	static RequestOutcome of(Failure failure) {
		return switch (failure.verdict()) {
			case NOT_RUN -> new NotRun(failure, Duration.ZERO);
			case MAY_HAVE_RUN, RAN -> new MayHaveRun(failure);
		};
	}

	/**
	 * The endpoint answered.
	 *
	 * @param answer the complete answer
	 */
	record Answered(HttpResponse answer) implements RequestOutcome {

		public Answered {
			Objects.requireNonNull(answer, "answer");
		}

		@Override
		public Verdict verdict() {
			return Verdict.RAN;
		}

	}

	/**
	 * The request has not run and will never run.
	 *
	 * @param failure the reason
	 * @param retryAfter the time after which the caller may retry; zero if unknown
	 */
	record NotRun(Failure failure, Duration retryAfter) implements RequestOutcome {

		public NotRun {
			Objects.requireNonNull(retryAfter, "retryAfter");
			if (failure.verdict() != Verdict.NOT_RUN) {
				throw new IllegalArgumentException(failure.code() + " does not imply that the request did not run");
			}
		}

		@Override
		public Verdict verdict() {
			return Verdict.NOT_RUN;
		}

	}

	/**
	 * The request may have run.
	 *
	 * @param failure the reason why there is no answer
	 */
	record MayHaveRun(Failure failure) implements RequestOutcome {

		public MayHaveRun {
			Objects.requireNonNull(failure, "failure");
		}

		@Override
		public Verdict verdict() {
			return Verdict.MAY_HAVE_RUN;
		}

	}

}
