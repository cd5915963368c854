package org.crocuspost.retry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.peer.Peer;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.wire.KeyClaimReply;

/**
 * Sends attempts of requests that must run at most once among all tries with the same
 * idempotency key. If an earlier try holds the key, its fate decides: its answer is
 * returned, or, if it never runs, its place is taken.
 */
public final class KeyedAttempts {

	private static final int MAXIMUM_CLAIMS = 3;

	private final KeyClaims claims;

	private final FateResolver fates;

	private final AttemptSender sender;

	/**
	 * Creates the sender of keyed attempts.
	 * @param claims claims keys
	 * @param fates finds out what became of earlier tries
	 * @param sender sends attempts
	 */
	public KeyedAttempts(KeyClaims claims, FateResolver fates, AttemptSender sender) {
		this.claims = claims;
		this.fates = fates;
		this.sender = sender;
	}

	/**
	 * Sends an attempt if the key allows it.
	 * @param request the request
	 * @param number the number of the attempt, from 1
	 * @param endpoint the endpoint
	 * @return the outcome of this try or of the earlier one with the same key
	 */
	public CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		return claim(request, number, endpoint, KeyClaimReply.getDefaultInstance(), 1);
	}

	private CompletionStage<RequestOutcome> claim(RoutedRequest request, int number, RoutedEndpoint endpoint,
			KeyClaimReply replaced, int claim) {
		Peer peer = endpoint.peer();
		SentAttempt attempt = new SentAttempt(request.requestId(), number, peer.identity().name(),
				peer.identity().incarnation());
		return this.claims.claim(request, attempt, replaced).thenCompose((decision) -> {
			if (decision instanceof KeyDecision.Granted) {
				return this.sender.send(request, number, endpoint);
			}
			if (decision instanceof KeyDecision.Held held && claim < MAXIMUM_CLAIMS) {
				return follow(request, number, endpoint, held.holder(), claim);
			}
			return done(duplicate(request));
		});
	}

	private CompletionStage<RequestOutcome> follow(RoutedRequest request, int number, RoutedEndpoint endpoint,
			KeyClaimReply holder, int claim) {
		if (!holder.getBodyDigest().equals(KeyClaims.digest(request))) {
			return done(RequestOutcome.of(ErrorCode.KEY_REUSED.with()));
		}
		SentAttempt earlier = new SentAttempt(holder.getRequestId(), holder.getAttempt(), holder.getTargetAgent(),
				holder.getTargetIncarnation());
		return this.fates.resolve(earlier, request.deadlineNanos()).thenCompose((outcome) -> {
			if (outcome instanceof RequestOutcome.NotRun) {
				return claim(request, number, endpoint, holder, claim + 1);
			}
			return done((outcome instanceof RequestOutcome.Answered) ? outcome : duplicate(request));
		});
	}

	private static RequestOutcome duplicate(RoutedRequest request) {
		return RequestOutcome.of(ErrorCode.DUPLICATE_REQUEST.with(request.idempotencyKey()));
	}

	private static CompletionStage<RequestOutcome> done(RequestOutcome outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

}
