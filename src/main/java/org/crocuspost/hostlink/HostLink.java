package org.crocuspost.hostlink;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.jspecify.annotations.Nullable;

/**
 * The leader's connection to the agent of a host. It is opened again whenever it is lost
 * or silent. Used on the event loop only.
 */
public final class HostLink {

	/**
	 * Pause between two tries to connect.
	 */
	private static final Duration RECONNECT_PAUSE = Duration.ofMillis(200);

	/**
	 * Agents report several times a second. A connection that is silent for so long has
	 * lost its other end.
	 */
	private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1_600);

	private static final int CONNECT_TIMEOUT_MILLIS = 800;

	private final String host;

	private final InetSocketAddress address;

	private final LeaderHello hello;

	private final EventLoop loop;

	private final Timer timer;

	private final Clock clock;

	private final HostLinkListener listener;

	private @Nullable Channel channel;

	private long heardNanos;

	private boolean closed;

	/**
	 * Creates a link. It connects with {@link #open()}.
	 * @param host the name of the host
	 * @param address where its agent listens
	 * @param hello the greeting, which carries the epoch of the leader
	 * @param loop the event loop of the process
	 * @param timer the timer of the event loop
	 * @param clock the clock of the process
	 * @param listener learns of reports
	 */
	public HostLink(String host, InetSocketAddress address, LeaderHello hello, EventLoop loop, Timer timer, Clock clock,
			HostLinkListener listener) {
		this.host = host;
		this.address = address;
		this.hello = hello;
		this.loop = loop;
		this.timer = timer;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Connects, and again after each loss.
	 */
	public void open() {
		if (this.closed) {
			return;
		}
		new Bootstrap().group(this.loop)
			.channel(org.crocuspost.net.Sockets.clientChannel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel opened) {
					FramePipeline.initialize(opened, HostReport.getDefaultInstance(), new ReportHandler());
				}

			})
			.connect(this.address)
			.addListener((ChannelFuture future) -> connected(future));
	}

	private void connected(ChannelFuture future) {
		if (this.closed) {
			future.channel().close();
		}
		else if (future.isSuccess()) {
			this.channel = future.channel();
			this.heardNanos = this.clock.nanoTime();
			this.listener.connected(this.host, true);
			this.channel.writeAndFlush(LeaderMessage.newBuilder().setHello(this.hello).build());
		}
		else {
			this.timer.schedule(RECONNECT_PAUSE, this::open);
		}
	}

	/**
	 * Sends a message if the link is open; a lost message is made up for by the answer to
	 * the next report.
	 * @param message the message
	 */
	public void send(LeaderMessage message) {
		if (this.channel != null && this.channel.isActive()) {
			this.channel.writeAndFlush(message);
		}
	}

	/**
	 * Closes the connection if nothing was heard on it for long.
	 */
	public void checkSilence() {
		if (this.channel != null && this.clock.nanoTime() - this.heardNanos > SILENCE_TIMEOUT.toNanos()) {
			this.channel.close();
		}
	}

	/**
	 * Closes the link for good.
	 */
	public void close() {
		this.closed = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private final class ReportHandler extends SimpleChannelInboundHandler<HostReport> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HostReport report) {
			if (!HostLink.this.closed && context.channel() == HostLink.this.channel) {
				HostLink.this.heardNanos = HostLink.this.clock.nanoTime();
				HostLink.this.listener.reported(report);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!HostLink.this.closed && context.channel() == HostLink.this.channel) {
				HostLink.this.channel = null;
				HostLink.this.listener.connected(HostLink.this.host, false);
				HostLink.this.timer.schedule(RECONNECT_PAUSE, HostLink.this::open);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The loss of the connection is handled when the channel becomes inactive.
			context.close();
		}

	}

}
