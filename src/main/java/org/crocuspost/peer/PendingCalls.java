package org.crocuspost.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;

/**
 * Holds the calls on one connection that wait for their answers, by correlation. Each
 * call is completed exactly once: by its answer, its timeout or the end of the
 * connection.
 */
final class PendingCalls {

	private final ConcurrentMap<Long, PendingCall> calls = new ConcurrentHashMap<>();

	private final AtomicLong correlations = new AtomicLong();

	private final Timer timer;

	PendingCalls(Timer timer) {
		this.timer = timer;
	}

	long register(Duration timeout) {
		long correlation = this.correlations.incrementAndGet();
		Cancellable expiry = this.timer.schedule(timeout, () -> fail(correlation, ErrorCode.DEADLINE_AFTER_START));
		this.calls.put(correlation, new PendingCall(new CompletableFuture<>(), expiry));
		return correlation;
	}

	CompletionStage<Either<Failure, Frame>> resultOf(long correlation) {
		PendingCall call = this.calls.get(correlation);
		if (call == null) {
			return CompletableFuture.completedFuture(Either.left(ErrorCode.DEADLINE_AFTER_START.with()));
		}
		return call.result();
	}

	void completeWithAnswer(Frame frame) {
		complete(frame.getCorrelation(), Either.right(frame));
	}

	void fail(long correlation, ErrorCode code, Object... arguments) {
		complete(correlation, Either.left(code.with(arguments)));
	}

	void failAll(String peerName) {
		for (Long correlation : List.copyOf(this.calls.keySet())) {
			fail(correlation, ErrorCode.CONNECTION_LOST, peerName);
		}
	}

	private void complete(long correlation, Either<Failure, Frame> result) {
		PendingCall call = this.calls.remove(correlation);
		if (call != null) {
			call.expiry().cancel();
			call.result().complete(result);
		}
	}

	private record PendingCall(CompletableFuture<Either<Failure, Frame>> result, Cancellable expiry) {
	}

}
