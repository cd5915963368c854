package org.crocuspost.retry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.routing.EndpointSelector;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.routing.RoutingPolicy;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Runs a request: selects an endpoint, sends an attempt, and retries as long as the
 * outcome of the last attempt, the deadline and the retry budget allow it.
 */
public final class RequestRunner {

	private static final int MAXIMUM_ATTEMPTS = 3;

	/**
	 * A hedge takes the number after that of its attempt, so attempt numbers advance by
	 * two.
	 */
	private static final int NUMBERS_PER_ATTEMPT = 2;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final EndpointSelector selector;

	private final AttemptSender sender;

	private final HedgedAttemptSender hedgedSender;

	private final KeyedAttemptSender keyedSender;

	private final RetryBudget budget;

	private final Clock clock;

	/**
	 * Creates a runner.
	 * @param directory the directory of endpoints
	 * @param policy chooses among the endpoints that can take a request
	 * @param settings the settings of the retry budget and of idempotency keys
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 */
	public RequestRunner(EndpointDirectory directory, RoutingPolicy policy, RetrySettings settings, Clock clock,
			Timer timer) {
		OutcomeResolver outcomes = new OutcomeResolver(directory, clock);
		this.clock = clock;
		this.selector = new EndpointSelector(directory, policy);
		this.sender = new AttemptSender(outcomes, clock);
		this.budget = new RetryBudget(settings.share(), settings.burst());
		this.hedgedSender = new HedgedAttemptSender(this.selector, this.sender, this.budget, clock, timer);
		KeyClaimer claimer = new KeyClaimer(new KeyReplicaLocator(directory, settings.keyRetention()));
		this.keyedSender = new KeyedAttemptSender(claimer, outcomes, this.sender);
	}

	/**
	 * Runs a request.
	 * @param request the request
	 * @return the outcome; completes at the deadline of the request at the latest
	 */
	public CompletionStage<RequestOutcome> run(RoutedRequest request) {
		this.budget.recordFirstAttempt();
		return attempt(request, 1, List.of(), Optional.empty());
	}

	private CompletionStage<RequestOutcome> attempt(RoutedRequest request, int attempt, List<RoutedEndpoint> tried,
			Optional<RequestOutcome> earlier) {
		Either<Failure, RoutedEndpoint> selected = this.selector.select(request.service(), tried);
		if (selected.isLeft()) {
			RequestOutcome refused = new RequestOutcome.NotRun(selected.getLeft(), RETRY_AFTER);
			return CompletableFuture.completedFuture(earlier.map(refused::combineWithEarlier).orElse(refused));
		}
		RoutedEndpoint endpoint = selected.get();
		int number = 1 + (attempt - 1) * NUMBERS_PER_ATTEMPT;
		return send(request, number, endpoint).thenCompose((outcome) -> retryOrComplete(request, attempt,
				append(tried, endpoint), outcome, earlier.map(outcome::combineWithEarlier).orElse(outcome)));
	}

	private CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		if (request.idempotent()) {
			return this.hedgedSender.send(request, number, endpoint);
		}
		if (!request.idempotencyKey().isEmpty()) {
			return this.keyedSender.send(request, number, endpoint);
		}
		return this.sender.send(request, number, endpoint);
	}

	private static List<RoutedEndpoint> append(List<RoutedEndpoint> tried, RoutedEndpoint endpoint) {
		return Stream.concat(tried.stream(), Stream.of(endpoint)).toList();
	}

	private CompletionStage<RequestOutcome> retryOrComplete(RoutedRequest request, int attempt,
			List<RoutedEndpoint> tried, RequestOutcome last, RequestOutcome combined) {
		if (attempt < MAXIMUM_ATTEMPTS && timeLeft(request) && mayRetry(request, last)) {
			return attempt(request, attempt + 1, tried, Optional.of(combined));
		}
		return CompletableFuture.completedFuture(combined);
	}

	private boolean timeLeft(RoutedRequest request) {
		return request.deadlineNanos() - this.clock.nanoTime() > 0;
	}

	private boolean mayRetry(RoutedRequest request, RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			return mayRetry(notRun.failure().code());
		}
		return outcome instanceof RequestOutcome.MayHaveRun && request.idempotent() && this.budget.take();
	}

	// A refusal by an agent whose endpoint is draining or paused causes no work at an
	// endpoint, so the retry takes no token from the budget.
	private boolean mayRetry(ErrorCode refusal) {
		return switch (refusal) {
			case ENDPOINT_LEAVING -> true;
			case OVERLOADED, ENDPOINT_REFUSED, REQUEST_CANCELLED, NO_ENDPOINT -> this.budget.take();
			default -> false;
		};
	}

}
