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
 * Handshake, pings and dispatch of frames on one connection. Silence is counted in ping
 * intervals without a frame, not in elapsed time, so that a pause of this process counts
 * as one interval and does not close connections whose frames wait to be read.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame> {

	private static final int CHALLENGE_BYTES = 32;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final PeerSettings settings;

	private final PeerListener listener;

	private final Timer timer;

	private final ConnectionSide side;

	private final HandshakeProof proof;

	private final Hello ownHello;

	private Cancellable handshakeExpiry = () -> {
	};

	private Cancellable pings = () -> {
	};

	private @Nullable Hello otherHello;

	private @Nullable NettyPeer peer;

	private int silentIntervals;

	private long pingSequence;

	PeerChannelHandler(PeerSettings settings, PeerListener listener, Timer timer, ConnectionSide side) {
		this.settings = settings;
		this.listener = listener;
		this.timer = timer;
		this.side = side;
		this.proof = new HandshakeProof(settings.secret());
		this.ownHello = hello(settings.self());
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
		this.handshakeExpiry = this.timer.schedule(this.settings.handshakeTimeout(),
				() -> context.executor().execute(() -> rejectUnproven(context)));
		context.writeAndFlush(Frame.newBuilder().setHello(this.ownHello).build());
	}

	private void rejectUnproven(ChannelHandlerContext context) {
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
		this.silentIntervals = 0;
		if (this.peer != null) {
			dispatch(context, this.peer, frame);
		}
		else if (frame.hasHello() && this.otherHello == null) {
			receiveHello(context, frame.getHello());
		}
		else if (frame.hasHelloReply() && this.otherHello != null) {
			receiveProof(context, this.otherHello, frame.getHelloReply());
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
		this.otherHello = hello;
		byte[] ownProof = this.proof.compute(this.ownHello, hello, this.side);
		HelloReply reply = HelloReply.newBuilder().setProof(ByteString.copyFrom(ownProof)).build();
		context.writeAndFlush(Frame.newBuilder().setHelloReply(reply).build());
	}

	private void receiveProof(ChannelHandlerContext context, Hello hello, HelloReply reply) {
		if (!this.proof.matches(reply.getProof().toByteArray(), hello, this.ownHello, this.side.other())) {
			reject(context);
			return;
		}
		this.handshakeExpiry.cancel();
		NettyPeer ready = new NettyPeer(identity(hello), context.channel(), this.timer);
		this.peer = ready;
		this.pings = this.timer.repeat(this.settings.pingInterval(),
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
		this.silentIntervals++;
		if (this.silentIntervals > this.settings.missedPings()) {
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
			ready.answered(frame);
		}
		else if (!frame.hasPong()) {
			this.listener.received(ready, frame);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.handshakeExpiry.cancel();
		this.pings.cancel();
		NettyPeer ready = this.peer;
		if (ready != null) {
			ready.closed();
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
