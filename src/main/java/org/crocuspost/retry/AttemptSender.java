package org.crocuspost.retry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.Frame;

/**
 * Sends one attempt of a request to an agent and finds out its outcome.
 */
public final class AttemptSender {

	/**
	 * Share of the time left that is kept for the answer's way back.
	 */
	private static final int ANSWER_SHARE = 20;

	private static final Duration LONGEST_ANSWER_RESERVE = Duration.ofMillis(20);

	private final FateResolver fates;

	private final Clock clock;

	/**
	 * Creates a sender.
	 * @param fates resolves attempts whose connection was lost
	 * @param clock the clock of the process
	 */
	public AttemptSender(FateResolver fates, Clock clock) {
		this.fates = fates;
		this.clock = clock;
	}

	/**
	 * Sends an attempt.
	 * @param request the request
	 * @param number the number of the attempt, from 1
	 * @param endpoint the endpoint
	 * @return the outcome, at the deadline of the request at the latest
	 */
	public CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		Duration left = Duration.ofNanos(request.deadlineNanos() - this.clock.nanoTime());
		Duration budget = budget(left);
		if (budget.toMillis() < 1) {
			return CompletableFuture.completedFuture(RequestOutcome.of(ErrorCode.DEADLINE_BEFORE_START.with()));
		}
		Peer peer = endpoint.peer();
		SentAttempt attempt = new SentAttempt(request.requestId(), number, peer.identity().name(),
				peer.identity().incarnation());
		endpoint.sent();
		return peer.call(WireMessages.forward(request, number, budget), left)
			.thenCompose((reply) -> receive(request, attempt, endpoint, reply));
	}

	private static Duration budget(Duration left) {
		Duration share = left.dividedBy(ANSWER_SHARE);
		Duration reserve = (share.compareTo(LONGEST_ANSWER_RESERVE) < 0) ? share : LONGEST_ANSWER_RESERVE;
		return left.minus(reserve);
	}

	private CompletionStage<RequestOutcome> receive(RoutedRequest request, SentAttempt attempt, RoutedEndpoint endpoint,
			Either<Failure, Frame> reply) {
		if (reply.isRight()) {
			RequestOutcome outcome = read(attempt, endpoint, reply.get());
			endEndpoint(request, endpoint, outcome);
			return CompletableFuture.completedFuture(outcome);
		}
		Failure failure = reply.getLeft();
		RequestOutcome outcome = RequestOutcome.of(failure);
		endEndpoint(request, endpoint, outcome);
		if (failure.code() == ErrorCode.CONNECTION_LOST) {
			return this.fates.resolve(attempt, request.deadlineNanos());
		}
		return CompletableFuture.completedFuture(outcome);
	}

	private static RequestOutcome read(SentAttempt attempt, RoutedEndpoint endpoint, Frame frame) {
		ForwardReply reply = frame.getForwardReply();
		boolean own = reply.getRequestId().equals(attempt.requestId()) && reply.getAttempt() == attempt.number();
		if (!own) {
			return RequestOutcome.of(ErrorCode.ANSWER_MISMATCHED.with(attempt.agentName()));
		}
		endpoint.observe(reply.getSlotsUsed(), reply.getQueued(), reply.getServiceMicroseconds());
		return WireMessages.outcome(reply, attempt.agentName());
	}

	private void endEndpoint(RoutedRequest request, RoutedEndpoint endpoint, RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.Answered answered) {
			endpoint.ended(!answered.answer().serverError());
		}
		else if (outcome instanceof RequestOutcome.NotRun notRun) {
			endRefused(endpoint, notRun);
		}
		else if (outcome instanceof RequestOutcome.MayHaveRun mayHaveRun) {
			endUncertain(request, endpoint, mayHaveRun);
		}
	}

	private static void endRefused(RoutedEndpoint endpoint, RequestOutcome.NotRun notRun) {
		if (notRun.failure().code() == ErrorCode.ENDPOINT_REFUSED) {
			endpoint.ended(false);
		}
		else {
			endpoint.refused();
		}
	}

	// A deadline that the caller set shorter than the objective of the service says
	// nothing
	// about the endpoint.
	private void endUncertain(RoutedRequest request, RoutedEndpoint endpoint, RequestOutcome.MayHaveRun mayHaveRun) {
		boolean deadline = mayHaveRun.failure().code() == ErrorCode.DEADLINE_AFTER_START;
		if (deadline && request.timeout().compareTo(request.service().objective().latency()) < 0) {
			endpoint.refused();
		}
		else {
			endpoint.ended(false);
		}
	}

}
