package org.crocuspost.retry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a caller is told of several attempts that all fail.
 */
class FirstGoodOutcomeTests {

	private static final RequestOutcome REFUSED = new RequestOutcome.NotRun(ErrorCode.NO_ENDPOINT.with("service"),
			Duration.ZERO);

	private static final RequestOutcome LOST = new RequestOutcome.MayHaveRun(ErrorCode.CONNECTION_LOST.with("agent"));

	/**
	 * A hedge that is refused after the first attempt was lost.
	 */
	@Test
	void aRefusedAttemptDoesNotHideOneThatMayHaveRun() {
		for (List<RequestOutcome> order : List.of(List.of(LOST, REFUSED), List.of(REFUSED, LOST))) {
			FirstGoodOutcome result = new FirstGoodOutcome();
			List<CompletableFuture<RequestOutcome>> attempts = List.of(new CompletableFuture<>(),
					new CompletableFuture<>());
			attempts.forEach(result::add);
			for (int index = 0; index < order.size(); index++) {
				attempts.get(index).complete(order.get(index));
			}
			assertThat(result.stage().join().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		}
	}

	@Test
	void aRequestOfWhichEachAttemptWasRefusedHasNotRun() {
		FirstGoodOutcome result = new FirstGoodOutcome();
		CompletableFuture<RequestOutcome> first = new CompletableFuture<>();
		CompletableFuture<RequestOutcome> second = new CompletableFuture<>();
		result.add(first);
		result.add(second);
		first.complete(REFUSED);
		assertThat(result.stage()).isNotDone();
		second.complete(REFUSED);
		assertThat(result.stage().join()).isEqualTo(REFUSED);
	}

}
