package org.crocuspost.retry;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.http.HttpAnswer;

/**
 * What became of a request or of one attempt of it. Each kind carries exactly what its
 * verdict allows to say.
 */
public sealed interface RequestOutcome {

	/**
	 * Returns whether the request has run.
	 * @return the verdict
	 */
	Verdict verdict();

	/**
	 * Returns what became of a request of which this is the last attempt. A refused
	 * attempt does not undo an earlier one that has run or may have run.
	 * @param earlier what became of the attempts before
	 * @return the outcome for the caller
	 */
	default RequestOutcome after(RequestOutcome earlier) {
		return (verdict().compareTo(earlier.verdict()) < 0) ? earlier : this;
	}

	/**
	 * Makes the outcome of a failure, by its verdict.
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
	 * @param answer the whole answer
	 */
	record Answered(HttpAnswer answer) implements RequestOutcome {

		public Answered {
			Objects.requireNonNull(answer, "answer");
		}

		@Override
		public Verdict verdict() {
			return Verdict.RAN;
		}

	}

	/**
	 * The request has not run and never will.
	 *
	 * @param failure why
	 * @param retryAfter when to come back; zero if it is not known
	 */
	record NotRun(Failure failure, Duration retryAfter) implements RequestOutcome {

		public NotRun {
			Objects.requireNonNull(retryAfter, "retryAfter");
			if (failure.verdict() != Verdict.NOT_RUN) {
				throw new IllegalArgumentException(failure.code() + " does not mean that the request did not run");
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
	 * @param failure why the answer is missing
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
