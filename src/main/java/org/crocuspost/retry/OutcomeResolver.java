package org.crocuspost.retry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.FateQuery;
import org.crocuspost.wire.FateReply;
import org.crocuspost.wire.Frame;

/**
 * Resolves the outcome of an attempt whose connection was lost by querying the agent over
 * a new connection. An agent that has not received the attempt guarantees that it will
 * never run it, so the outcome is then "not run" and final.
 */
public final class OutcomeResolver {

	private final EndpointDirectory directory;

	private final Clock clock;

	/**
	 * Creates a resolver.
	 * @param directory provides a new connection to the agent
	 * @param clock the clock of the process
	 */
	public OutcomeResolver(EndpointDirectory directory, Clock clock) {
		this.directory = directory;
		this.clock = clock;
	}

	/**
	 * Resolves the outcome of an attempt.
	 * @param attempt the attempt
	 * @param deadlineNanos the time after which the outcome is no longer needed, in
	 * nanoseconds on the monotonic clock
	 * @return the outcome; may-have-run if the agent does not report it in time
	 */
	public CompletionStage<RequestOutcome> resolve(SentAttempt attempt, long deadlineNanos) {
		return this.directory.awaitAgent(attempt.agentName(), remaining(deadlineNanos))
			.thenCompose((peer) -> queryAgent(attempt, peer, deadlineNanos));
	}

	private Duration remaining(long deadlineNanos) {
		return Duration.ofNanos(Math.max(0, deadlineNanos - this.clock.nanoTime()));
	}

	private CompletionStage<RequestOutcome> queryAgent(SentAttempt attempt, Optional<Peer> peer, long deadlineNanos) {
		if (peer.isEmpty() || !peer.get().identity().incarnation().equals(attempt.agentIncarnation())) {
			return CompletableFuture.completedFuture(unknown(attempt));
		}
		Duration wait = remaining(deadlineNanos);
		FateQuery query = FateQuery.newBuilder()
			.setRequestId(attempt.requestId())
			.setAttempt(attempt.number())
			.setIncarnation(attempt.agentIncarnation())
			.setWaitMilliseconds((int) wait.toMillis())
			.build();
		return peer.get()
			.call(Frame.newBuilder().setFateQuery(query).build(), wait)
			.thenCompose((reply) -> read(attempt, peer.get(), reply, deadlineNanos));
	}

	private CompletionStage<RequestOutcome> read(SentAttempt attempt, Peer peer, Either<Failure, Frame> reply,
			long deadlineNanos) {
		boolean lostAgain = reply.isLeft() && !peer.open();
		if (lostAgain && remaining(deadlineNanos).compareTo(Duration.ZERO) > 0) {
			return resolve(attempt, deadlineNanos);
		}
		RequestOutcome outcome = reply.map((frame) -> read(attempt, frame.getFateReply()))
			.getOrElseGet((failure) -> new RequestOutcome.MayHaveRun(failure));
		return CompletableFuture.completedFuture(outcome);
	}

	private static RequestOutcome read(SentAttempt attempt, FateReply reply) {
		return switch (reply.getFate()) {
			case FATE_NEVER_RUNS -> RequestOutcome.of(ErrorCode.REQUEST_CANCELLED.with(attempt.requestId()));
			case FATE_FINISHED -> finished(attempt, reply);
			case FATE_RUNNING -> RequestOutcome.of(ErrorCode.DEADLINE_AFTER_START.with());
			default -> unknown(attempt);
		};
	}

	private static RequestOutcome finished(SentAttempt attempt, FateReply reply) {
		if (!reply.hasReply()) {
			return unknown(attempt);
		}
		return WireMessages.outcome(reply.getReply(), attempt.agentName());
	}

	private static RequestOutcome unknown(SentAttempt attempt) {
		return RequestOutcome.of(ErrorCode.CONNECTION_LOST.with(attempt.agentName()));
	}

}
