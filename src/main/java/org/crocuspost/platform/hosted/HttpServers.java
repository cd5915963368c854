package org.crocuspost.platform.hosted;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoop;
import org.crocuspost.httpserver.ConnectionLimits;
import org.crocuspost.httpserver.HttpServer;
import org.crocuspost.httpserver.HttpServerHandler;
import org.crocuspost.httpserver.RequestMemory;
import org.crocuspost.net.Sockets;

/**
 * Starts HTTP servers on the addresses that the platform assigns. They share an event
 * loop and the memory for requests, and divide the descriptors of the machine.
 */
final class HttpServers {

	/**
	 * Descriptors that the platform reserves for files.
	 */
	private static final int FILE_DESCRIPTORS = 200;

	/**
	 * Share of the sockets for clients. The other half is for the other addresses and for
	 * the connections that the process opens itself.
	 */
	private static final int CLIENT_DIVISOR = 2;

	/**
	 * Share of the sockets for each address that a few callers of the platform use.
	 */
	private static final int PLATFORM_DIVISOR = 16;

	private final EventLoop loop = Sockets.eventLoop("crocuspost-http").next();

	private final RequestMemory memory = RequestMemory.ofProcess();

	private final int sockets;

	HttpServers(int maximumDescriptors) {
		this.sockets = Math.max(PLATFORM_DIVISOR, maximumDescriptors - FILE_DESCRIPTORS);
	}

	/**
	 * Starts a server for clients, which may be many.
	 * @param address the address
	 * @param maximumBodyBytes the largest body that is accepted, in bytes
	 * @param handler handles the requests
	 * @return the server
	 */
	HttpServer startForClients(InetSocketAddress address, int maximumBodyBytes, HttpServerHandler handler) {
		return HttpServer.start(this.loop, address,
				new ConnectionLimits(this.sockets / CLIENT_DIVISOR, maximumBodyBytes), this.memory, handler);
	}

	/**
	 * Starts a server for the platform, which opens a few connections at most.
	 * @param address the address
	 * @param maximumBodyBytes the largest body that is accepted, in bytes
	 * @param handler handles the requests
	 * @return the server
	 */
	HttpServer startForPlatform(InetSocketAddress address, int maximumBodyBytes, HttpServerHandler handler) {
		return HttpServer.start(this.loop, address,
				new ConnectionLimits(this.sockets / PLATFORM_DIVISOR, maximumBodyBytes), this.memory, handler);
	}

}
