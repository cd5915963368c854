package org.crocuspost.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.netty.channel.Channel;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;

/**
 * Peer on a Netty channel whose handshake is complete.
 */
final class NettyPeer implements Peer {

	private final PeerIdentity identity;

	private final Channel channel;

	private final PendingCalls calls;

	NettyPeer(PeerIdentity identity, Channel channel, Timer timer) {
		this.identity = identity;
		this.channel = channel;
		this.calls = new PendingCalls(timer);
	}

	@Override
	public PeerIdentity identity() {
		return this.identity;
	}

	@Override
	public void send(Frame frame) {
		if (this.channel.isWritable()) {
			this.channel.writeAndFlush(frame);
		}
	}

	/**
	 * {@inheritDoc}
	 * <p>
	 * If the write fails, the frame was not written completely, so the other end cannot
	 * have decoded it and the call has not run. If the connection ends after a successful
	 * write, the call may or may not have run.
	 */
	@Override
	public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
		if (!this.channel.isWritable()) {
			return CompletableFuture.completedFuture(Either.left(notWrittenFailure()));
		}
		long correlation = this.calls.register(timeout);
		CompletionStage<Either<Failure, Frame>> result = this.calls.resultOf(correlation);
		Frame correlated = frame.toBuilder().setCorrelation(correlation).setAnswer(false).build();
		this.channel.writeAndFlush(correlated).addListener((write) -> {
			if (!write.isSuccess()) {
				this.calls.fail(correlation, ErrorCode.NO_ENDPOINT, this.identity.name());
			}
			else if (!this.channel.isActive()) {
				this.calls.fail(correlation, ErrorCode.CONNECTION_LOST, this.identity.name());
			}
		});
		return result;
	}

	private Failure notWrittenFailure() {
		return ErrorCode.NO_ENDPOINT.with(this.identity.name());
	}

	void completeCall(Frame frame) {
		this.calls.completeWithAnswer(frame);
	}

	void failPendingCalls() {
		this.calls.failAll(this.identity.name());
	}

	@Override
	public boolean open() {
		return this.channel.isActive();
	}

	@Override
	public void close() {
		this.channel.close();
	}

	@Override
	public String toString() {
		return this.identity.name() + "/" + this.identity.incarnation();
	}

}
