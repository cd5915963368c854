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
 * Sends one attempt of a request to an agent and determines its outcome.
 */
public final class AttemptSender {

	/**
	 * The remaining time divided by this number is reserved for returning the answer.
	 */
	private static final int ANSWER_RESERVE_DIVISOR = 20;

	private static final Duration MAXIMUM_ANSWER_RESERVE = Duration.ofMillis(20);

	private final OutcomeResolver outcomes;

	private final Clock clock;

	/**
	 * Creates a sender.
	 * @param outcomes resolves the outcomes of attempts whose connection was lost
	 * @param clock the clock of the process
	 */
	public AttemptSender(OutcomeResolver outcomes, Clock clock) {
		this.outcomes = outcomes;
		this.clock = clock;
	}

	/**
	 * Sends an attempt.
	 * @param request the request
	 * @param number the number of the attempt, from 1
	 * @param endpoint the endpoint
	 * @return the outcome; completes at the deadline of the request at the latest
	 */
	public CompletionStage<RequestOutcome> send(RoutedRequest request, int number, RoutedEndpoint endpoint) {
		Duration remaining = Duration.ofNanos(request.deadlineNanos() - this.clock.nanoTime());
		Duration budget = budget(remaining);
		if (budget.toMillis() < 1) {
			return CompletableFuture.completedFuture(RequestOutcome.of(ErrorCode.DEADLINE_BEFORE_START.with()));
		}
		Peer peer = endpoint.peer();
		SentAttempt attempt = new SentAttempt(request.requestId(), number, peer.identity().name(),
				peer.identity().incarnation());
		endpoint.recordSent();
		return peer.call(WireMessages.forward(request, number, budget), remaining)
			.thenCompose((reply) -> receive(request, attempt, endpoint, reply));
	}

	private static Duration budget(Duration remaining) {
		Duration share = remaining.dividedBy(ANSWER_RESERVE_DIVISOR);
		Duration reserve = (share.compareTo(MAXIMUM_ANSWER_RESERVE) < 0) ? share : MAXIMUM_ANSWER_RESERVE;
		return remaining.minus(reserve);
	}

	private CompletionStage<RequestOutcome> receive(RoutedRequest request, SentAttempt attempt, RoutedEndpoint endpoint,
			Either<Failure, Frame> reply) {
		if (reply.isRight()) {
			RequestOutcome outcome = read(attempt, endpoint, reply.get());
			recordOutcome(request, endpoint, outcome);
			return CompletableFuture.completedFuture(outcome);
		}
		Failure failure = reply.getLeft();
		RequestOutcome outcome = RequestOutcome.of(failure);
		recordOutcome(request, endpoint, outcome);
		if (failure.code() == ErrorCode.CONNECTION_LOST) {
			return this.outcomes.resolve(attempt, request.deadlineNanos());
		}
		return CompletableFuture.completedFuture(outcome);
	}

	private static RequestOutcome read(SentAttempt attempt, RoutedEndpoint endpoint, Frame frame) {
		ForwardReply reply = frame.getForwardReply();
		boolean matches = reply.getRequestId().equals(attempt.requestId()) && reply.getAttempt() == attempt.number();
		if (!matches) {
			return RequestOutcome.of(ErrorCode.ANSWER_MISMATCHED.with(attempt.agentName()));
		}
		endpoint.updateLoad(reply.getSlotsUsed(), reply.getQueued(), reply.getServiceMicroseconds());
		return WireMessages.outcome(reply, attempt.agentName());
	}

	private void recordOutcome(RoutedRequest request, RoutedEndpoint endpoint, RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.Answered answered) {
			endpoint.recordEnd(!answered.answer().isServerError());
		}
		else if (outcome instanceof RequestOutcome.NotRun notRun) {
			recordNotRun(endpoint, notRun);
		}
		else if (outcome instanceof RequestOutcome.MayHaveRun mayHaveRun) {
			recordMayHaveRun(request, endpoint, mayHaveRun);
		}
	}

	private static void recordNotRun(RoutedEndpoint endpoint, RequestOutcome.NotRun notRun) {
		if (notRun.failure().code() == ErrorCode.ENDPOINT_REFUSED) {
			endpoint.recordEnd(false);
		}
		else {
			endpoint.recordInconclusiveEnd();
		}
	}

	// If the caller set a timeout shorter than the latency objective of the service,
	// its expiry is no evidence of a failure of the endpoint.
	private void recordMayHaveRun(RoutedRequest request, RoutedEndpoint endpoint,
			RequestOutcome.MayHaveRun mayHaveRun) {
		boolean deadline = mayHaveRun.failure().code() == ErrorCode.DEADLINE_AFTER_START;
		if (deadline && request.timeout().compareTo(request.service().objective().latency()) < 0) {
			endpoint.recordInconclusiveEnd();
		}
		else {
			endpoint.recordEnd(false);
		}
	}

}
