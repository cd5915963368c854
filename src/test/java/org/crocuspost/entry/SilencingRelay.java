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
 * Relays TCP connections, and can forget those that are open: they stay open and carry
 * nothing any more, while new ones work.
 */
final class SilencingRelay {

	private final EventLoopGroup group;

	private final InetSocketAddress target;

	private final Channel server;

	private final Queue<Channel> channels = new ConcurrentLinkedQueue<>();

	SilencingRelay(EventLoopGroup group, InetSocketAddress target) {
		this.group = group;
		this.target = target;
		this.server = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.AUTO_READ, false)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					dial(channel);
				}
			})
			.bind(RequestPathFixture.loopback())
			.syncUninterruptibly()
			.channel();
	}

	private void dial(Channel accepted) {
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					// The handlers are added once the connection is there.
				}
			})
			.connect(this.target)
			.addListener((io.netty.channel.ChannelFuture connected) -> {
				if (connected.isSuccess()) {
					join(accepted, connected.channel());
				}
				else {
					accepted.close();
				}
			});
	}

	private void join(Channel accepted, Channel dialed) {
		accepted.pipeline().addLast(new Copy(dialed));
		dialed.pipeline().addLast(new Copy(accepted));
		this.channels.add(accepted);
		this.channels.add(dialed);
		accepted.config().setAutoRead(true);
		dialed.config().setAutoRead(true);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.server.localAddress();
	}

	void silence() {
		for (Channel channel : this.channels) {
			Copy copy = channel.pipeline().get(Copy.class);
			if (copy != null) {
				copy.silent = true;
			}
		}
	}

	void close() {
		this.server.close().awaitUninterruptibly();
		this.channels.forEach(Channel::close);
	}

	private static final class Copy extends ChannelInboundHandlerAdapter {

		private final Channel other;

		private volatile boolean silent;

		private Copy(Channel other) {
			this.other = other;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (this.silent) {
				((ByteBuf) message).release();
			}
			else {
				this.other.writeAndFlush(message);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!this.silent) {
				this.other.close();
			}
		}

	}

}
