package org.crocuspost.entry;

import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Relays TCP connections and can black-hole those that are open: they stay open, but all
 * further data on them is discarded. New connections work.
 */
final class BlackholeRelay {

	private final EventLoopGroup group;

	private final InetSocketAddress target;

	private final Channel server;

	private final Queue<Channel> channels = new ConcurrentLinkedQueue<>();

	BlackholeRelay(EventLoopGroup group, InetSocketAddress target) {
		this.group = group;
		this.target = target;
		this.server = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.AUTO_READ, false)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					connectToTarget(channel);
				}
			})
			.bind(RequestPathFixture.loopback())
			.syncUninterruptibly()
			.channel();
	}

	private void connectToTarget(Channel inbound) {
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					// The handlers are added once the connection is established.
				}
			})
			.connect(this.target)
			.addListener((io.netty.channel.ChannelFuture connected) -> {
				if (connected.isSuccess()) {
					forwardBothWays(inbound, connected.channel());
				}
				else {
					inbound.close();
				}
			});
	}

	private void forwardBothWays(Channel inbound, Channel outbound) {
		inbound.pipeline().addLast(new Forwarder(outbound));
		outbound.pipeline().addLast(new Forwarder(inbound));
		this.channels.add(inbound);
		this.channels.add(outbound);
		inbound.config().setAutoRead(true);
		outbound.config().setAutoRead(true);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.server.localAddress();
	}

	void blackholeOpenConnections() {
		for (Channel channel : this.channels) {
			Forwarder forwarder = channel.pipeline().get(Forwarder.class);
			if (forwarder != null) {
				forwarder.blackholed = true;
			}
		}
	}

	void close() {
		this.server.close().awaitUninterruptibly();
		this.channels.forEach(Channel::close);
	}

	private static final class Forwarder extends ChannelInboundHandlerAdapter {

		private final Channel destination;

		private volatile boolean blackholed;

		private Forwarder(Channel destination) {
			this.destination = destination;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (this.blackholed) {
				((ByteBuf) message).release();
			}
			else {
				this.destination.writeAndFlush(message);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!this.blackholed) {
				this.destination.close();
			}
		}

	}

}
