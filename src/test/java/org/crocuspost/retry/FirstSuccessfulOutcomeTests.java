package org.crocuspost.retry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the combined outcome of several attempts that all fail.
 */
class FirstSuccessfulOutcomeTests {

	private static final RequestOutcome REFUSED = new RequestOutcome.NotRun(ErrorCode.NO_ENDPOINT.with("service"),
			Duration.ZERO);

	private static final RequestOutcome LOST = new RequestOutcome.MayHaveRun(ErrorCode.CONNECTION_LOST.with("agent"));

	/**
	 * Guards against reporting "not run" for a request whose first attempt was lost and
	 * whose hedge was refused, in either order.
	 */
	@Test
	void refusedAttemptDoesNotOverrideAttemptThatMayHaveRun() {
		for (List<RequestOutcome> order : List.of(List.of(LOST, REFUSED), List.of(REFUSED, LOST))) {
			FirstSuccessfulOutcome result = new FirstSuccessfulOutcome();
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
	void requestHasNotRunIfAllAttemptsWereRefused() {
		FirstSuccessfulOutcome result = new FirstSuccessfulOutcome();
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
