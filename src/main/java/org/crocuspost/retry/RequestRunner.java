package org.crocuspost.retry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.routing.RoutingPolicy;
import org.crocuspost.time.Clock;

/**
 * Runs a request: chooses an endpoint, sends an attempt, and sends another one as long as
 * the verdict of the last one, the deadline and the retry budget allow it.
 */
public final class RequestRunner {

	private static final int MAXIMUM_ATTEMPTS = 3;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final EndpointDirectory directory;

	private final RoutingPolicy policy;

	private final AttemptSender sender;

	private final RetryBudget budget;

	private final Clock clock;

	/**
	 * Creates a runner.
	 * @param directory the endpoints
	 * @param policy chooses among them
	 * @param sender sends attempts
	 * @param budget bounds the extra attempts
	 * @param clock the clock of the process
	 */
	public RequestRunner(EndpointDirectory directory, RoutingPolicy policy, AttemptSender sender, RetryBudget budget,
			Clock clock) {
		this.directory = directory;
		this.policy = policy;
		this.sender = sender;
		this.budget = budget;
		this.clock = clock;
	}

	/**
	 * Runs a request.
	 * @param request the request
	 * @return the outcome, at the deadline of the request at the latest
	 */
	public CompletionStage<RequestOutcome> run(RoutedRequest request) {
		this.budget.firstAttempt();
		return attempt(request, 1, List.of());
	}

	private CompletionStage<RequestOutcome> attempt(RoutedRequest request, int number, List<RoutedEndpoint> tried) {
		String service = request.service().name();
		List<RoutedEndpoint> candidates = untried(this.directory.candidates(service), tried);
		if (candidates.isEmpty()) {
			return refuse(ErrorCode.NO_ENDPOINT, service);
		}
		List<RoutedEndpoint> withRoom = candidates.stream().filter((endpoint) -> endpoint.room() > 0).toList();
		if (withRoom.isEmpty()) {
			return refuse(ErrorCode.OVERLOADED, service);
		}
		RoutedEndpoint endpoint = this.policy.choose(withRoom);
		return this.sender.send(request, number, endpoint)
			.thenCompose((outcome) -> proceed(request, number, append(tried, endpoint), outcome));
	}

	private static List<RoutedEndpoint> untried(List<RoutedEndpoint> candidates, List<RoutedEndpoint> tried) {
		List<RoutedEndpoint> rest = candidates.stream().filter((endpoint) -> !tried.contains(endpoint)).toList();
		return rest.isEmpty() ? candidates : rest;
	}

	private static List<RoutedEndpoint> append(List<RoutedEndpoint> tried, RoutedEndpoint endpoint) {
		return java.util.stream.Stream.concat(tried.stream(), java.util.stream.Stream.of(endpoint)).toList();
	}

	private static CompletionStage<RequestOutcome> refuse(ErrorCode code, String service) {
		return CompletableFuture.completedFuture(new RequestOutcome.NotRun(code.with(service), RETRY_AFTER));
	}

	private CompletionStage<RequestOutcome> proceed(RoutedRequest request, int number, List<RoutedEndpoint> tried,
			RequestOutcome outcome) {
		if (number < MAXIMUM_ATTEMPTS && timeLeft(request) && mayRepeat(request, outcome)) {
			return attempt(request, number + 1, tried);
		}
		return CompletableFuture.completedFuture(outcome);
	}

	private boolean timeLeft(RoutedRequest request) {
		return request.deadlineNanos() - this.clock.nanoTime() > 0;
	}

	private boolean mayRepeat(RoutedRequest request, RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			return mayRepeat(notRun.failure().code());
		}
		return outcome instanceof RequestOutcome.MayHaveRun && request.idempotent() && this.budget.take();
	}

	// A refusal by an agent whose endpoint is leaving costs no endpoint any work, so it
	// takes nothing from the budget.
	private boolean mayRepeat(ErrorCode refusal) {
		return switch (refusal) {
			case ENDPOINT_LEAVING -> true;
			case OVERLOADED, ENDPOINT_REFUSED, REQUEST_CANCELLED, NO_ENDPOINT -> this.budget.take();
			default -> false;
		};
	}

}
