package org.crocuspost.net;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Chooses the kind of sockets that the system offers.
 */
public final class Sockets {

	private Sockets() {
	}

	/**
	 * Creates the event loop of a process, which has one thread.
	 * @param name the name of the thread
	 * @return the event loop
	 */
	public static EventLoopGroup eventLoop(String name) {
		DefaultThreadFactory factory = new DefaultThreadFactory(name, true);
		return Epoll.isAvailable() ? new EpollEventLoopGroup(1, factory) : new NioEventLoopGroup(1, factory);
	}

	/**
	 * Returns the type of client sockets.
	 * @return the type that fits the event loop
	 */
	public static Class<? extends SocketChannel> clientChannel() {
		return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
	}

	/**
	 * Returns the type of listening sockets.
	 * @return the type that fits the event loop
	 */
	public static Class<? extends ServerSocketChannel> serverChannel() {
		return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
	}

	/**
	 * Reads an address.
	 * @param text an IP number and a port, separated by a colon
	 * @return the address
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static InetSocketAddress parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("not an address: " + text);
		}
		try {
			return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("not an address: " + text, ex);
		}
	}

}
