package org.crocuspost.peer;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.crocuspost.time.Timer;

/**
 * Accepts connections of other processes.
 */
public final class PeerServer {

	private static final int BACKLOG = 1024;

	private final Channel serverChannel;

	private final ChannelGroup accepted;

	private PeerServer(Channel serverChannel, ChannelGroup accepted) {
		this.serverChannel = serverChannel;
		this.accepted = accepted;
	}

	/**
	 * Binds a port and accepts connections from then on.
	 * @param address the address and port; port 0 binds any free port
	 * @param group the event loops of the connections; the caller shuts the group down
	 * @param settings the settings
	 * @param listener receives the connections and frames
	 * @param timer the timer of the process
	 * @return the server
	 */
	public static PeerServer start(InetSocketAddress address, EventLoopGroup group, PeerSettings settings,
			PeerListener listener, Timer timer) {
		ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
		PeerPipeline pipeline = new PeerPipeline(settings, listener, timer, ConnectionSide.ACCEPTOR);
		Channel channel = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel child) {
					accepted.add(child);
					child.pipeline().addLast(pipeline);
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return new PeerServer(channel, accepted);
	}

	/**
	 * Returns the bound address.
	 * @return the address with the actual port
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.serverChannel.localAddress();
	}

	/**
	 * Stops accepting connections and closes all open ones.
	 */
	public void close() {
		this.serverChannel.close().awaitUninterruptibly();
		this.accepted.close().awaitUninterruptibly();
	}

}
