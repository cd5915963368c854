package org.crocuspost.httpserver;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.crocuspost.net.Sockets;

/**
 * HTTP server on one address. When all its connections are taken, the one that has
 * completed no request for longest gives way to a new one.
 */
public final class HttpServer implements AutoCloseable {

	/**
	 * Time between two requests after which a connection is closed.
	 */
	private static final long IDLE_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Time without progress after which an unfinished request or response is given up.
	 * The longest wait of clients for an answer is far below.
	 */
	private static final long STALLED_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long CHECK_INTERVAL_SECONDS = 1;

	private static final int INITIAL_READ_BYTES = 2_048;

	private static final int MAXIMUM_READ_BYTES = 16_384;

	/**
	 * Allocator with chunks of 256 KiB. The default has chunks of 4 MiB, of which a
	 * single long-lived buffer keeps a whole one.
	 */
	private static final PooledByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(false, 1, 1, 8_192, 5);

	private final EventLoop loop;

	private final ConnectionLimits limits;

	private final RequestMemory memory;

	private final HttpServerHandler handler;

	private final Map<Channel, HttpConnection> connections = new LinkedHashMap<>();

	private final Channel serverChannel;

	private HttpServer(EventLoop loop, InetSocketAddress address, ConnectionLimits limits, RequestMemory memory,
			HttpServerHandler handler) {
		this.loop = loop;
		this.limits = limits;
		this.memory = memory;
		this.handler = handler;
		this.serverChannel = new ServerBootstrap().group(loop)
			.channel(Sockets.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(256, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
		loop.scheduleAtFixedRate(this::closeExpired, CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Starts a server. Must not be called on the event loop.
	 * @param loop the event loop, which all servers of one budget share
	 * @param address the address
	 * @param limits the limits of the connections
	 * @param memory the budget of the process
	 * @param handler handles the requests
	 * @return the server
	 * @throws IllegalStateException if the server cannot listen
	 */
	public static HttpServer start(EventLoop loop, InetSocketAddress address, ConnectionLimits limits,
			RequestMemory memory, HttpServerHandler handler) {
		try {
			return new HttpServer(loop, address, limits, memory, handler);
		}
		catch (Exception ex) {
			// Netty also throws checked exceptions, which its methods do not declare.
			throw new IllegalStateException("the server cannot listen on " + address, ex);
		}
	}

	private void accept(SocketChannel channel) {
		if (this.connections.size() >= this.limits.maximumConnections() && !closeOldest()) {
			channel.close();
			return;
		}
		HttpConnection connection = new HttpConnection(channel, this.limits, this.memory, this.handler);
		this.connections.put(channel, connection);
		channel.closeFuture().addListener((closed) -> this.connections.remove(channel));
		channel.pipeline().addLast(connection.decoder()).addLast(new HttpResponseEncoder()).addLast(connection);
	}

	private boolean closeOldest() {
		long now = System.nanoTime();
		HttpConnection oldest = null;
		for (HttpConnection connection : this.connections.values()) {
			if (connection.replaceable(now) && (oldest == null || connection.stateNanos() - oldest.stateNanos() < 0)) {
				oldest = connection;
			}
		}
		if (oldest == null) {
			return false;
		}
		this.connections.remove(oldest.channel());
		oldest.channel().close();
		return true;
	}

	private void closeExpired() {
		long now = System.nanoTime();
		List<HttpConnection> open = new ArrayList<>(this.connections.values());
		open.stream()
			.filter((connection) -> connection.expired(now, IDLE_TIMEOUT_NANOS, STALLED_TIMEOUT_NANOS))
			.forEach((connection) -> connection.channel().close());
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address with the bound port
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.serverChannel.localAddress();
	}

	/**
	 * Stops to listen and closes all connections. Must not be called on the event loop.
	 */
	@Override
	public void close() {
		this.serverChannel.close().syncUninterruptibly();
		this.loop.submit(() -> List.copyOf(this.connections.keySet()).forEach(Channel::close)).syncUninterruptibly();
	}

}
