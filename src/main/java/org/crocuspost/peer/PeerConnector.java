package org.crocuspost.peer;

import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.crocuspost.time.Timer;

/**
 * Opens connections to other processes and reopens a connection that ends after a random
 * delay whose upper bound grows with each failure.
 */
public final class PeerConnector {

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

	private final Bootstrap bootstrap;

	private final Timer timer;

	/**
	 * Creates a connector.
	 * @param group the event loops of the connections; the caller shuts the group down
	 * @param settings the settings
	 * @param listener receives the connections and frames
	 * @param timer the timer of the process
	 */
	public PeerConnector(EventLoopGroup group, PeerSettings settings, PeerListener listener, Timer timer) {
		this.timer = timer;
		this.bootstrap = new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
			.handler(new PeerPipeline(settings, listener, timer, ConnectionSide.DIALER));
	}

	/**
	 * Opens a connection and reopens it whenever it ends, until the link is closed.
	 * @param address the address of the other process
	 * @return the link
	 */
	public PeerLink connect(InetSocketAddress address) {
		PeerLink link = new PeerLink(this.bootstrap, address, this.timer);
		link.dial();
		return link;
	}

}
