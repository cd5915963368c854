package org.crocuspost.net;

import java.net.InetAddress;
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
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Creates event loops and returns matching socket types: epoll where the operating system
 * supports it, otherwise NIO. Also parses socket addresses.
 */
public final class Sockets {

	private Sockets() {
	}

	/**
	 * Creates an event loop with one daemon thread.
	 * @param name the name of the thread
	 * @return the event loop
	 */
	public static EventLoopGroup eventLoop(String name) {
		DefaultThreadFactory factory = new DefaultThreadFactory(name, true);
		return Epoll.isAvailable() ? new EpollEventLoopGroup(1, factory) : new NioEventLoopGroup(1, factory);
	}

	/**
	 * Returns the type of client sockets.
	 * @return the type that matches the event loop
	 */
	public static Class<? extends SocketChannel> clientChannel() {
		return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
	}

	/**
	 * Returns the type of listening sockets.
	 * @return the type that matches the event loop
	 */
	public static Class<? extends ServerSocketChannel> serverChannel() {
		return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
	}

	/**
	 * Parses a socket address. Never asks a name service, which would block the caller.
	 * @param text an IP address and a port, separated by a colon
	 * @return the socket address
	 * @throws IllegalArgumentException if the colon, the IP address or a valid port is
	 * missing
	 */
	public static InetSocketAddress parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		InetAddress address = NetUtil.createInetAddressFromIpAddressString(text.substring(0, Math.max(0, colon)));
		if (address == null) {
			throw new IllegalArgumentException("not an address: " + text);
		}
		try {
			return new InetSocketAddress(address, Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("not an address: " + text, ex);
		}
	}

}
