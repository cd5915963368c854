package org.crocuspost.retry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.peer.Peer;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.wire.KeyClaimReply;

/**
 * Sends attempts of requests that must run at most once among all requests with the same
 * idempotency key. If an earlier request holds the key, the outcome of its latest attempt
 * is resolved: its answer is returned, or, if it never runs, this request claims the key
 * in its place.
 */
public final class KeyedAttemptSender {

	private static final int MAXIMUM_CLAIMS = 3;

	private final KeyClaimer claimer;

	private final OutcomeResolver outcomes;

	private final AttemptSender sender;

	/**
	 * Creates a sender.
	 * @param claimer claims idempotency keys
	 * @param outcomes resolves the outcomes of earlier requests with the same key
	 * @param sender sends attempts
	 */
	public KeyedAttemptSender(KeyClaimer claimer, OutcomeResolver outcomes, AttemptSender sender) {
		this.claimer = claimer;
		this.outcomes = outcomes;
		this.sender = sender;
	}

	/**
	 * Claims the idempotency key and sends an attempt if the claim is granted.
	 * @param request the request
	 * @param number the number of the attempt, from 1
	 * @param endpoint the endpoint
	 * @return the outcome of this attempt or of an earlier request with the same key
	 */
	public CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		return claim(request, number, endpoint, KeyClaimReply.getDefaultInstance(), 1);
	}

	private CompletionStage<RequestOutcome> claim(RoutedRequest request, int number, RoutedEndpoint endpoint,
			KeyClaimReply replaced, int claimNumber) {
		Peer peer = endpoint.peer();
		SentAttempt attempt = new SentAttempt(request.requestId(), number, peer.identity().name(),
				peer.identity().incarnation());
		return this.claimer.claim(request, attempt, replaced).thenCompose((result) -> {
			if (result instanceof KeyClaimResult.Granted) {
				return this.sender.send(request, number, endpoint);
			}
			if (result instanceof KeyClaimResult.Held held && claimNumber < MAXIMUM_CLAIMS) {
				return resolveHolder(request, number, endpoint, held.holder(), claimNumber);
			}
			return completed(duplicate(request));
		});
	}

	private CompletionStage<RequestOutcome> resolveHolder(RoutedRequest request, int number, RoutedEndpoint endpoint,
			KeyClaimReply holder, int claimNumber) {
		if (!holder.getBodyDigest().equals(KeyClaimer.digest(request))) {
			return completed(RequestOutcome.of(ErrorCode.KEY_REUSED.with()));
		}
		SentAttempt earlier = new SentAttempt(holder.getRequestId(), holder.getAttempt(), holder.getTargetAgent(),
				holder.getTargetIncarnation());
		return this.outcomes.resolve(earlier, request.deadlineNanos()).thenCompose((outcome) -> {
			if (outcome instanceof RequestOutcome.NotRun) {
				return claim(request, number, endpoint, holder, claimNumber + 1);
			}
			return completed((outcome instanceof RequestOutcome.Answered) ? outcome : duplicate(request));
		});
	}

	private static RequestOutcome duplicate(RoutedRequest request) {
		return RequestOutcome.of(ErrorCode.DUPLICATE_REQUEST.with(request.idempotencyKey()));
	}

	private static CompletionStage<RequestOutcome> completed(RequestOutcome outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

}
