package org.crocuspost.admission;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.crocuspost.http.HttpHeader;
import org.crocuspost.http.HttpRequest;
import org.crocuspost.peer.Peer;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.ForwardRequest;
import org.crocuspost.wire.Frame;

/**
 * Represents a forwarded attempt that the agent is processing. Exactly one reply is sent
 * for it; later replies are discarded.
 */
final class ForwardedAttempt {

	private final Peer peer;

	private final long correlation;

	private final ForwardRequest request;

	private final long deadlineNanos;

	private final AtomicBoolean answered = new AtomicBoolean();

	ForwardedAttempt(Peer peer, Frame frame, long now) {
		this.peer = peer;
		this.correlation = frame.getCorrelation();
		this.request = frame.getForwardRequest();
		this.deadlineNanos = now + this.request.getBudgetMilliseconds() * 1_000_000L;
	}

	AttemptId id() {
		return new AttemptId(this.request.getRequestId(), this.request.getAttempt());
	}

	ForwardRequest request() {
		return this.request;
	}

	long deadlineNanos() {
		return this.deadlineNanos;
	}

	boolean bodyComplete() {
		return this.request.getBody().size() == this.request.getBodyLength();
	}

	HttpRequest call() {
		List<HttpHeader> headers = this.request.getHeadersList()
			.stream()
			.map((header) -> new HttpHeader(header.getName(), header.getValue()))
			.toList();
		return new HttpRequest(this.request.getMethod(), this.request.getTarget(), headers, this.request.getBody());
	}

	void answer(ForwardReply reply) {
		if (this.answered.compareAndSet(false, true)) {
			Frame frame = Frame.newBuilder()
				.setCorrelation(this.correlation)
				.setAnswer(true)
				.setForwardReply(reply)
				.build();
			this.peer.send(frame);
		}
	}

}
