package org.crocuspost.peer;

import java.io.IOException;
import java.security.SecureRandom;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.Hello;
import org.crocuspost.wire.HelloReply;
import org.crocuspost.wire.Ping;
import org.crocuspost.wire.Pong;
import org.crocuspost.wire.ProcessRole;
import org.jspecify.annotations.Nullable;

/**
 * Performs the handshake on one connection, sends and answers pings and dispatches
 * frames. A connection times out after a number of ping intervals without a frame, not
 * after an elapsed time, so that a pause of this process counts as one interval and does
 * not close connections whose frames are waiting to be read.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame> {

	private static final int CHALLENGE_BYTES = 32;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final PeerSettings settings;

	private final PeerListener listener;

	private final Timer timer;

	private final ConnectionSide side;

	private final HandshakeProof handshakeProof;

	private final Hello localHello;

	private Cancellable handshakeTimer = () -> {
	};

	private Cancellable pingTimer = () -> {
	};

	private @Nullable Hello remoteHello;

	private @Nullable NettyPeer peer;

	private int intervalsWithoutFrame;

	private long pingSequence;

	PeerChannelHandler(PeerSettings settings, PeerListener listener, Timer timer, ConnectionSide side) {
		this.settings = settings;
		this.listener = listener;
		this.timer = timer;
		this.side = side;
		this.handshakeProof = new HandshakeProof(settings.secret());
		this.localHello = hello(settings.self());
	}

	private static Hello hello(PeerIdentity self) {
		byte[] challenge = new byte[CHALLENGE_BYTES];
		RANDOM.nextBytes(challenge);
		return Hello.newBuilder()
			.setRole(ProcessRole.valueOf("PROCESS_ROLE_" + self.role().name()))
			.setName(self.name())
			.setIncarnation(self.incarnation())
			.setFailureDomain(self.failureDomain())
			.setChallenge(ByteString.copyFrom(challenge))
			.build();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.handshakeTimer = this.timer.schedule(this.settings.handshakeTimeout(),
				() -> context.executor().execute(() -> rejectIncompleteHandshake(context)));
		context.writeAndFlush(Frame.newBuilder().setHello(this.localHello).build());
	}

	private void rejectIncompleteHandshake(ChannelHandlerContext context) {
		if (this.peer == null) {
			reject(context);
		}
	}

	private void reject(ChannelHandlerContext context) {
		EventLog.warn(PeerEvent.PEER_REJECTED, Field.of("address", context.channel().remoteAddress()));
		context.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.intervalsWithoutFrame = 0;
		if (this.peer != null) {
			dispatch(context, this.peer, frame);
		}
		else if (frame.hasHello() && this.remoteHello == null) {
			receiveHello(context, frame.getHello());
		}
		else if (frame.hasHelloReply() && this.remoteHello != null) {
			receiveProof(context, this.remoteHello, frame.getHelloReply());
		}
		else {
			reject(context);
		}
	}

	private void receiveHello(ChannelHandlerContext context, Hello hello) {
		if (hello.getChallenge().size() != CHALLENGE_BYTES || role(hello) == null) {
			reject(context);
			return;
		}
		this.remoteHello = hello;
		byte[] ownProof = this.handshakeProof.compute(this.localHello, hello, this.side);
		HelloReply reply = HelloReply.newBuilder().setProof(ByteString.copyFrom(ownProof)).build();
		context.writeAndFlush(Frame.newBuilder().setHelloReply(reply).build());
	}

	private void receiveProof(ChannelHandlerContext context, Hello hello, HelloReply reply) {
		if (!this.handshakeProof.matches(reply.getProof().toByteArray(), hello, this.localHello,
				this.side.opposite())) {
			reject(context);
			return;
		}
		this.handshakeTimer.cancel();
		NettyPeer ready = new NettyPeer(identity(hello), context.channel(), this.timer);
		this.peer = ready;
		this.pingTimer = this.timer.repeat(this.settings.pingInterval(),
				() -> context.executor().execute(() -> ping(context, ready)));
		EventLog.info(PeerEvent.PEER_CONNECTED, Field.of("peer", ready));
		this.listener.connected(ready);
	}

	private static PeerIdentity identity(Hello hello) {
		return new PeerIdentity(java.util.Objects.requireNonNull(role(hello)), hello.getName(), hello.getIncarnation(),
				hello.getFailureDomain());
	}

	private static PeerIdentity.@Nullable Role role(Hello hello) {
		return switch (hello.getRole()) {
			case PROCESS_ROLE_ENTRY -> PeerIdentity.Role.ENTRY;
			case PROCESS_ROLE_SCHEDULER -> PeerIdentity.Role.SCHEDULER;
			case PROCESS_ROLE_AGENT -> PeerIdentity.Role.AGENT;
			default -> null;
		};
	}

	private void ping(ChannelHandlerContext context, NettyPeer ready) {
		if (!context.channel().isActive()) {
			return;
		}
		this.intervalsWithoutFrame++;
		if (this.intervalsWithoutFrame > this.settings.maximumMissedPings()) {
			EventLog.warn(PeerEvent.PEER_SILENT, Field.of("peer", ready));
			context.close();
			return;
		}
		Ping ping = Ping.newBuilder().setSequence(++this.pingSequence).build();
		context.writeAndFlush(Frame.newBuilder().setPing(ping).build());
	}

	private void dispatch(ChannelHandlerContext context, NettyPeer ready, Frame frame) {
		if (frame.hasPing()) {
			Pong pong = Pong.newBuilder().setSequence(frame.getPing().getSequence()).build();
			context.writeAndFlush(Frame.newBuilder().setPong(pong).build());
		}
		else if (frame.getAnswer()) {
			ready.completeCall(frame);
		}
		else if (!frame.hasPong()) {
			this.listener.received(ready, frame);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.handshakeTimer.cancel();
		this.pingTimer.cancel();
		NettyPeer ready = this.peer;
		if (ready != null) {
			ready.failPendingCalls();
			EventLog.info(PeerEvent.PEER_DISCONNECTED, Field.of("peer", ready));
			this.listener.disconnected(ready);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof DecoderException) {
			reject(context);
			return;
		}
		if (!(cause instanceof IOException)) {
			EventLog.error(cause, PeerEvent.PEER_LISTENER_FAILED,
					Field.of("address", context.channel().remoteAddress()));
		}
		context.close();
	}

}
