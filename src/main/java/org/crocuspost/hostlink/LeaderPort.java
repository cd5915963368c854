package org.crocuspost.hostlink;

import java.net.InetSocketAddress;

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
 * The agent's port for the leader. Only the leader of the newest epoch is obeyed: a
 * connection that greets with an older one is closed. Used on the event loop only.
 */
public final class LeaderPort {

	private final LeaderPortListener listener;

	private @Nullable Channel leader;

	private long epoch;

	/**
	 * Creates the port. It listens with {@link #bind}.
	 * @param listener obeys the leader
	 */
	public LeaderPort(LeaderPortListener listener) {
		this.listener = listener;
	}

	/**
	 * Begins to listen.
	 * @param loop the event loop of the process
	 * @param address the address; port 0 for any free port
	 * @return the address with the real port
	 * @throws IllegalStateException if the port is taken
	 */
	public InetSocketAddress bind(EventLoopGroup loop, InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
			.channel(Sockets.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					FramePipeline.initialize(channel, LeaderMessage.getDefaultInstance(), new MessageHandler());
				}

			});
		return (InetSocketAddress) bootstrap.bind(address).syncUninterruptibly().channel().localAddress();
	}

	/**
	 * Sends a report if a leader is connected.
	 * @param report the report
	 */
	public void send(HostReport report) {
		if (this.leader != null && this.leader.isActive()) {
			this.leader.writeAndFlush(report);
		}
	}

	/**
	 * Says whether a leader is connected.
	 * @return true if one is
	 */
	public boolean connected() {
		return this.leader != null && this.leader.isActive();
	}

	/**
	 * Returns the newest epoch that was seen.
	 * @return the epoch; 0 if no leader was seen
	 */
	public long epoch() {
		return this.epoch;
	}

	private final class MessageHandler extends SimpleChannelInboundHandler<LeaderMessage> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, LeaderMessage message) {
			if (message.hasHello()) {
				greet(context.channel(), message);
			}
			else if (context.channel() == LeaderPort.this.leader) {
				LeaderPort.this.listener.messageReceived(message);
			}
		}

		private void greet(Channel channel, LeaderMessage message) {
			long offered = message.getHello().getEpoch();
			if (offered < LeaderPort.this.epoch) {
				channel.close();
				return;
			}
			Channel former = LeaderPort.this.leader;
			LeaderPort.this.epoch = offered;
			LeaderPort.this.leader = channel;
			if (former != null && former != channel) {
				former.close();
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
			// The loss of the connection is handled when the channel becomes inactive.
			context.close();
		}

	}

}
