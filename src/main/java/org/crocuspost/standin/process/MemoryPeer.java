package org.crocuspost.standin.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;
import org.jspecify.annotations.Nullable;

/**
 * One end of a {@link MemoryLink}.
 */
final class MemoryPeer implements Peer {

	private final MemoryLink link;

	private final MemoryLink.End self;

	private final PeerIdentity other;

	private final Timer timer;

	private final Map<Long, CompletableFuture<Either<Failure, Frame>>> pendingCalls = new HashMap<>();

	private @Nullable MemoryPeer remote;

	private long lastCorrelation;

	private boolean open = true;

	MemoryPeer(MemoryLink link, MemoryLink.End self, PeerIdentity other, Timer timer) {
		this.link = link;
		this.self = self;
		this.other = other;
		this.timer = timer;
	}

	void connect(MemoryPeer peer) {
		this.remote = peer;
	}

	@Override
	public PeerIdentity identity() {
		return this.other;
	}

	@Override
	public void send(Frame frame) {
		MemoryPeer target = this.remote;
		if (this.open && target != null) {
			this.link.transmit(() -> target.deliver(frame));
		}
	}

	@Override
	public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
		CompletableFuture<Either<Failure, Frame>> answer = new CompletableFuture<>();
		if (!this.open) {
			answer.complete(Either.left(ErrorCode.NO_ENDPOINT.with(this.other.name())));
			return answer;
		}
		long correlation = ++this.lastCorrelation;
		this.pendingCalls.put(correlation, answer);
		send(frame.toBuilder().setCorrelation(correlation).build());
		this.timer.schedule(timeout, () -> this.self.process().run(() -> expire(correlation)));
		return answer;
	}

	private void expire(long correlation) {
		CompletableFuture<Either<Failure, Frame>> answer = this.pendingCalls.remove(correlation);
		if (answer != null) {
			answer.complete(Either.left(ErrorCode.DEADLINE_AFTER_START.with()));
		}
	}

	private void deliver(Frame frame) {
		this.self.process().run(() -> receive(frame));
	}

	private void receive(Frame frame) {
		if (!this.open) {
			return;
		}
		if (!frame.getAnswer()) {
			this.self.listener().received(this, frame);
			return;
		}
		CompletableFuture<Either<Failure, Frame>> answer = this.pendingCalls.remove(frame.getCorrelation());
		if (answer != null) {
			answer.complete(Either.right(frame));
		}
	}

	@Override
	public boolean open() {
		return this.open;
	}

	@Override
	public void close() {
		if (!this.open) {
			return;
		}
		this.open = false;
		this.pendingCalls.values()
			.forEach((answer) -> answer.complete(Either.left(ErrorCode.CONNECTION_LOST.with(this.other.name()))));
		this.pendingCalls.clear();
		this.self.process().run(() -> this.self.listener().disconnected(this));
	}

}
