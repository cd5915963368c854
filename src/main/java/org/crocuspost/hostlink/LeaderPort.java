package org.crocuspost.hostlink;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import org.crocuspost.net.Sockets;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderMessage;
import org.jspecify.annotations.Nullable;

/**
 * Server port of an agent, to which the leader connects. Only the leader with the newest
 * epoch is obeyed: a connection whose hello carries an older epoch is closed. Must be
 * used on the event loop only.
 */
public final class LeaderPort {

	/**
	 * Connections without a hello that are open at once. A leader sends its hello as soon
	 * as it is connected. The event loop accepts 16 connections before it reads from
	 * others, and with no more than these a leader would be closed before its hello is
	 * read.
	 */
	private static final int MAXIMUM_UNIDENTIFIED_CONNECTIONS = 64;

	private final LeaderPortListener listener;

	private final Deque<Channel> unidentified = new ArrayDeque<>();

	private @Nullable Channel leader;

	private @Nullable ReportEncoder encoder;

	private long epoch;

	/**
	 * Creates the port, which accepts connections after {@link #bind}.
	 * @param listener receives the leader's messages and connection changes
	 */
	public LeaderPort(LeaderPortListener listener) {
		this.listener = listener;
	}

	/**
	 * Binds the port and starts to accept connections. If the port is taken, Netty throws
	 * an {@link java.io.IOException}, although the method does not declare it.
	 * @param loop the event loop of the process
	 * @param address the address; port 0 selects any free port
	 * @return the bound address with the actual port
	 */
	public InetSocketAddress bind(EventLoopGroup loop, InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
			.channel(Sockets.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					limitUnidentified(channel);
					FramePipeline.initializeForHello(channel, LeaderMessage.getDefaultInstance(), new MessageHandler());
				}

			});
		return (InetSocketAddress) bootstrap.bind(address).syncUninterruptibly().channel().localAddress();
	}

	/**
	 * Closes the oldest connection without a hello if there are too many of them.
	 * @param added the new connection
	 */
	private void limitUnidentified(Channel added) {
		if (this.unidentified.size() >= MAXIMUM_UNIDENTIFIED_CONNECTIONS) {
			this.unidentified.removeFirst().close();
		}
		this.unidentified.addLast(added);
		added.closeFuture().addListener((closed) -> this.unidentified.remove(added));
	}

	/**
	 * Refuses leaders of earlier epochs, as after a hello of this epoch. An agent that
	 * restarts would otherwise obey a former leader that has not noticed its successor,
	 * until the successor connects.
	 * @param newestEpoch the epoch that the store shows
	 */
	public void requireEpoch(long newestEpoch) {
		this.epoch = Math.max(this.epoch, newestEpoch);
	}

	/**
	 * Sends a report if a leader is connected. A leader that reads changes receives only
	 * what has changed since the previous report on its connection.
	 * @param report the whole report
	 */
	public void send(HostReport report) {
		if (this.leader != null && this.leader.isActive()) {
			this.leader.writeAndFlush((this.encoder != null) ? this.encoder.encode(report) : report);
		}
	}

	/**
	 * Returns whether the connected leader answers each report by its number.
	 * @return true if it does; false also if no leader is connected
	 */
	public boolean answersReports() {
		return connected() && this.encoder != null;
	}

	/**
	 * Returns whether a leader is connected.
	 * @return true if a leader is connected
	 */
	public boolean connected() {
		return this.leader != null && this.leader.isActive();
	}

	/**
	 * Returns the newest epoch that a leader has sent.
	 * @return the epoch; 0 if no leader has connected yet
	 */
	public long epoch() {
		return this.epoch;
	}

	private final class MessageHandler extends SimpleChannelInboundHandler<LeaderMessage> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, LeaderMessage message) {
			if (message.hasHello()) {
				handleHello(context.channel(), message);
			}
			else if (context.channel() == LeaderPort.this.leader) {
				LeaderPort.this.listener.messageReceived(message);
			}
		}

		private void handleHello(Channel channel, LeaderMessage message) {
			long helloEpoch = message.getHello().getEpoch();
			if (helloEpoch < LeaderPort.this.epoch) {
				channel.close();
				return;
			}
			if (LeaderPort.this.unidentified.remove(channel)) {
				FramePipeline.acceptLongFrames(channel);
			}
			Channel previous = LeaderPort.this.leader;
			LeaderPort.this.epoch = helloEpoch;
			LeaderPort.this.leader = channel;
			LeaderPort.this.encoder = message.getHello().getReadsChanges() ? new ReportEncoder() : null;
			if (previous != null && previous != channel) {
				previous.close();
			}
			LeaderPort.this.listener.helloReceived(message.getHello());
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (context.channel() == LeaderPort.this.leader) {
				LeaderPort.this.leader = null;
				LeaderPort.this.listener.connectionLost();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LeaderPort.this.listener.connectionFailed(String.valueOf(cause));
			// The loss of the connection is handled when the channel becomes inactive.
			context.close();
		}

	}

}
