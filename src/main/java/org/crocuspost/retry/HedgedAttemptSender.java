package org.crocuspost.retry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.crocuspost.routing.EndpointSelector;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Sends attempts of idempotent requests with hedging. If the first attempt takes longer
 * than the 95th percentile of recent latencies of the service, a second one, the hedge,
 * is sent to another endpoint within the retry budget, and the first answer without a
 * server error is used.
 */
public final class HedgedAttemptSender {

	private final EndpointSelector selector;

	private final AttemptSender sender;

	private final RetryBudget budget;

	private final Clock clock;

	private final Timer timer;

	private final LatencyQuantiles latencies = new LatencyQuantiles();

	/**
	 * Creates a sender.
	 * @param selector selects the endpoint of a hedge
	 * @param sender sends attempts
	 * @param budget limits the additional attempts
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 */
	public HedgedAttemptSender(EndpointSelector selector, AttemptSender sender, RetryBudget budget, Clock clock,
			Timer timer) {
		this.selector = selector;
		this.sender = sender;
		this.budget = budget;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Sends an attempt and, if it is slow, a hedge with the next attempt number.
	 * @param request the request, which must be idempotent
	 * @param number the number of the attempt, from 1
	 * @param endpoint the endpoint
	 * @return the first answer without a server error, otherwise the combined outcome of
	 * both attempts
	 */
	public CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		String service = request.service().name();
		long start = this.clock.nanoTime();
		CompletableFuture<RequestOutcome> first = this.sender.send(request, number, endpoint).toCompletableFuture();
		first.thenAccept((outcome) -> {
			if (outcome instanceof RequestOutcome.Answered) {
				this.latencies.record(service, Duration.ofNanos(this.clock.nanoTime() - start));
			}
		});
		return this.latencies.quantile(service)
			.map((delay) -> hedge(request, number + 1, endpoint, first, delay))
			.orElse(first);
	}

	private CompletableFuture<RequestOutcome> hedge(RoutedRequest request, int number, RoutedEndpoint excluded,
			CompletableFuture<RequestOutcome> first, Duration delay) {
		FirstSuccessfulOutcome result = new FirstSuccessfulOutcome();
		result.add(first);
		Cancellable hedge = this.timer.schedule(delay, () -> sendHedge(request, number, excluded, first, result));
		result.stage().thenRun(hedge::cancel);
		return result.stage();
	}

	private void sendHedge(RoutedRequest request, int number, RoutedEndpoint excluded,
			CompletableFuture<RequestOutcome> first, FirstSuccessfulOutcome result) {
		if (first.isDone()) {
			return;
		}
		this.selector.select(request.service(), List.of(excluded))
			.filter((other) -> other != excluded && this.budget.take())
			.forEach((selected) -> selected
				.forEach((other) -> result.add(this.sender.send(request, number, other).toCompletableFuture())));
	}

}
