package org.crocuspost.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.wire.Frame;

/**
 * Peer that records the frames sent through it and fails each call.
 */
final class FakePeer implements Peer {

	final List<Frame> sent = new ArrayList<>();

	boolean closed;

	private final PeerIdentity identity;

	FakePeer(PeerIdentity identity) {
		this.identity = identity;
	}

	@Override
	public PeerIdentity identity() {
		return this.identity;
	}

	@Override
	public void send(Frame frame) {
		this.sent.add(frame);
	}

	@Override
	public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
		return CompletableFuture.completedFuture(Either.left(ErrorCode.CONNECTION_LOST.with("fake")));
	}

	@Override
	public boolean open() {
		return !this.closed;
	}

	@Override
	public void close() {
		this.closed = true;
	}

}
