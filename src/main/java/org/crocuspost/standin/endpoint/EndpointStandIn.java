package org.crocuspost.standin.endpoint;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.crocuspost.time.Timer;

/**
 * Stand-in for an HTTP endpoint. Answers each request with the body of the request,
 * records every request that it executes and simulates faults.
 */
public final class EndpointStandIn {

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private final EventLoopGroup group;

	private final Timer timer;

	private final Channel server;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private final Queue<ExecutedRequest> executedRequests = new ConcurrentLinkedQueue<>();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger maxRunning = new AtomicInteger();

	private final Queue<Channel> unresponsiveConnections = new ConcurrentLinkedQueue<>();

	private volatile EndpointFault fault = EndpointFault.NONE;

	private volatile Duration serviceTime = Duration.ZERO;

	/**
	 * Starts an endpoint on a free port of the loopback address.
	 * @param group the event loops that serve the connections; the caller shuts them down
	 * @param timer the timer of the process
	 */
	public EndpointStandIn(EventLoopGroup group, Timer timer) {
		this(group, timer, 0);
	}

	/**
	 * Starts an endpoint on the loopback address.
	 * @param group the event loops that serve the connections; the caller shuts them down
	 * @param timer the timer of the process
	 * @param port the port; 0 for any free port
	 */
	public EndpointStandIn(EventLoopGroup group, Timer timer, int port) {
		this.group = group;
		this.timer = timer;
		this.server = bind(port);
	}

	private Channel bind(int port) {
		return new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					EndpointStandIn.this.connections.add(channel);
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES),
								new EndpointHandler(EndpointStandIn.this));
				}
			})
			.bind(new InetSocketAddress("127.0.0.1", port))
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Returns the address at which the endpoint listens.
	 * @return scheme, host and port
	 */
	public URI address() {
		return URI.create("http://127.0.0.1:" + ((InetSocketAddress) this.server.localAddress()).getPort());
	}

	/**
	 * Sets the fault that the endpoint simulates from the next request on.
	 * @param value the fault
	 */
	public void setFault(EndpointFault value) {
		this.fault = value;
	}

	/**
	 * Sets how long the execution of a request takes from the next request on.
	 * @param value the service time
	 */
	public void setServiceTime(Duration value) {
		this.serviceTime = value;
	}

	/**
	 * Makes all open connections permanently unresponsive: their requests are neither
	 * executed nor answered. New connections work.
	 */
	public void stallOpenConnections() {
		for (Channel channel : this.connections) {
			this.unresponsiveConnections.add(channel);
			channel.config().setAutoRead(false);
		}
	}

	/**
	 * Returns the requests that were executed.
	 * @return the requests in the order in which their execution began
	 */
	public List<ExecutedRequest> executedRequests() {
		return List.copyOf(this.executedRequests);
	}

	/**
	 * Returns the maximum number of requests that were executed at the same time.
	 * @return the number
	 */
	public int maxRunning() {
		return this.maxRunning.get();
	}

	/**
	 * Returns the number of requests that are being executed.
	 * @return the number
	 */
	public int running() {
		return this.running.get();
	}

	/**
	 * Stops immediately: new connections are refused, open ones are closed.
	 */
	public void close() {
		this.server.close().awaitUninterruptibly();
		this.connections.close().awaitUninterruptibly();
	}

	EndpointFault fault() {
		return this.fault;
	}

	boolean isUnresponsive(Channel channel) {
		return this.unresponsiveConnections.contains(channel);
	}

	void begin(ExecutedRequest entry) {
		this.executedRequests.add(entry);
		int now = this.running.incrementAndGet();
		this.maxRunning.accumulateAndGet(now, Math::max);
	}

	void finishAfterServiceTime(Runnable sendResponse) {
		Runnable finish = () -> {
			this.running.decrementAndGet();
			sendResponse.run();
		};
		Duration time = this.serviceTime;
		if (time.isZero()) {
			finish.run();
		}
		else {
			this.timer.schedule(time, finish);
		}
	}

}
