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
 * Runs a request: chooses an endpoint, sends an attempt, and sends another one as long as
 * the verdict of the last one, the deadline and the retry budget allow it.
 */
public final class RequestRunner {

	private static final int MAXIMUM_ATTEMPTS = 3;

	/**
	 * A hedge takes the number after that of its attempt.
	 */
	private static final int NUMBERS_PER_ATTEMPT = 2;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final EndpointSelector selector;

	private final AttemptSender sender;

	private final HedgedAttempts hedged;

	private final KeyedAttempts keyed;

	private final RetryBudget budget;

	private final Clock clock;

	/**
	 * Creates a runner.
	 * @param directory the endpoints
	 * @param policy chooses among them
	 * @param settings the settings
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 */
	public RequestRunner(EndpointDirectory directory, RoutingPolicy policy, RetrySettings settings, Clock clock,
			Timer timer) {
		FateResolver fates = new FateResolver(directory, clock);
		this.clock = clock;
		this.selector = new EndpointSelector(directory, policy);
		this.sender = new AttemptSender(fates, clock);
		this.budget = new RetryBudget(settings.share(), settings.burst());
		this.hedged = new HedgedAttempts(this.selector, this.sender, this.budget, clock, timer);
		KeyClaims claims = new KeyClaims(new KeyKeepers(directory, settings.keyMemory()));
		this.keyed = new KeyedAttempts(claims, fates, this.sender);
	}

	/**
	 * Runs a request.
	 * @param request the request
	 * @return the outcome, at the deadline of the request at the latest
	 */
	public CompletionStage<RequestOutcome> run(RoutedRequest request) {
		this.budget.firstAttempt();
		return attempt(request, 1, List.of(), Optional.empty());
	}

	private CompletionStage<RequestOutcome> attempt(RoutedRequest request, int attempt, List<RoutedEndpoint> tried,
			Optional<RequestOutcome> earlier) {
		Either<Failure, RoutedEndpoint> selected = this.selector.select(request.service(), tried);
		if (selected.isLeft()) {
			RequestOutcome refused = new RequestOutcome.NotRun(selected.getLeft(), RETRY_AFTER);
			return CompletableFuture.completedFuture(earlier.map(refused::after).orElse(refused));
		}
		RoutedEndpoint endpoint = selected.get();
		int number = 1 + (attempt - 1) * NUMBERS_PER_ATTEMPT;
		return send(request, number, endpoint).thenCompose((outcome) -> proceed(request, attempt,
				append(tried, endpoint), outcome, earlier.map(outcome::after).orElse(outcome)));
	}

	private CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		if (request.idempotent()) {
			return this.hedged.send(request, number, endpoint);
		}
		if (!request.idempotencyKey().isEmpty()) {
			return this.keyed.send(request, number, endpoint);
		}
		return this.sender.send(request, number, endpoint);
	}

	private static List<RoutedEndpoint> append(List<RoutedEndpoint> tried, RoutedEndpoint endpoint) {
		return Stream.concat(tried.stream(), Stream.of(endpoint)).toList();
	}

	private CompletionStage<RequestOutcome> proceed(RoutedRequest request, int attempt, List<RoutedEndpoint> tried,
			RequestOutcome last, RequestOutcome all) {
		if (attempt < MAXIMUM_ATTEMPTS && timeLeft(request) && mayRepeat(request, last)) {
			return attempt(request, attempt + 1, tried, Optional.of(all));
		}
		return CompletableFuture.completedFuture(all);
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
