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
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.jspecify.annotations.Nullable;

/**
 * The leader's connection to the agent of a host. Reconnects whenever the connection is
 * lost or carries no reports for too long. Must be used on the event loop only.
 */
public final class HostLink implements HostConnection {

	/**
	 * Delay before a lost connection is opened again.
	 */
	private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

	/**
	 * Maximum delay between two attempts to connect to a host that does not answer. Hosts
	 * that are gone for good are still in the table.
	 */
	private static final Duration MAXIMUM_RECONNECT_DELAY = Duration.ofSeconds(1);

	/**
	 * Time without a report after which the connection is closed. Agents report several
	 * times a second, so by then the agent can no longer be reached on the connection.
	 */
	private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

	private static final int CONNECT_TIMEOUT_MILLIS = 800;

	private final String host;

	private final InetSocketAddress address;

	private final LeaderHello hello;

	private final TrafficCounters traffic;

	private final EventLoop loop;

	private final Timer timer;

	private final Clock clock;

	private final HostLinkListener listener;

	private @Nullable Channel channel;

	private ReportDecoder decoder = new ReportDecoder();

	private Duration nextAttemptDelay = RECONNECT_DELAY;

	private long lastActivityNanos;

	private boolean closed;

	/**
	 * Creates a link, which connects after {@link #open()}.
	 * @param host the name of the host
	 * @param address the address on which the agent listens
	 * @param hello the first message of each connection, which carries the epoch of the
	 * leader
	 * @param traffic counts the bytes of the connections
	 * @param loop the event loop of the process
	 * @param timer the timer of the event loop
	 * @param clock the clock of the process
	 * @param listener receives connection changes and reports
	 */
	public HostLink(String host, InetSocketAddress address, LeaderHello hello, TrafficCounters traffic, EventLoop loop,
			Timer timer, Clock clock, HostLinkListener listener) {
		this.host = host;
		this.address = address;
		this.hello = hello;
		this.traffic = traffic;
		this.loop = loop;
		this.timer = timer;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Returns a connector that creates links.
	 * @param traffic counts the bytes of the connections
	 * @param loop the event loop of the process
	 * @param timer the timer of the event loop
	 * @param clock the clock of the process
	 * @return the connector
	 */
	public static HostConnector connector(TrafficCounters traffic, EventLoop loop, Timer timer, Clock clock) {
		return (host, address, hello, listener) -> new HostLink(host, address, hello, traffic, loop, timer, clock,
				listener);
	}

	@Override
	public void open() {
		if (this.closed) {
			return;
		}
		new Bootstrap().group(this.loop)
			.channel(org.crocuspost.net.Sockets.clientChannel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel newChannel) {
					newChannel.pipeline().addLast(HostLink.this.traffic.connectionHandler("hosts"));
					FramePipeline.initialize(newChannel, HostReport.getDefaultInstance(), new ReportHandler());
				}

			})
			.connect(this.address)
			.addListener((ChannelFuture future) -> handleConnectResult(future));
	}

	private void handleConnectResult(ChannelFuture future) {
		if (this.closed) {
			future.channel().close();
		}
		else if (future.isSuccess()) {
			this.channel = future.channel();
			this.decoder = new ReportDecoder();
			this.nextAttemptDelay = RECONNECT_DELAY;
			this.lastActivityNanos = this.clock.nanoTime();
			this.listener.connectionChanged(this.host, true);
			this.channel.writeAndFlush(LeaderMessage.newBuilder().setHello(this.hello).build());
		}
		else {
			this.timer.schedule(this.nextAttemptDelay, this::open);
			Duration doubled = this.nextAttemptDelay.multipliedBy(2);
			this.nextAttemptDelay = (doubled.compareTo(MAXIMUM_RECONNECT_DELAY) < 0) ? doubled
					: MAXIMUM_RECONNECT_DELAY;
		}
	}

	@Override
	public void send(LeaderMessage message) {
		if (this.channel != null && this.channel.isActive()) {
			this.decoder.endsRecorded(message.getWorkerBorn(), message.getRecordedEnds());
			this.channel.writeAndFlush(message);
		}
	}

	@Override
	public void closeIfUnresponsive() {
		if (this.channel != null && this.clock.nanoTime() - this.lastActivityNanos > REPORT_TIMEOUT.toNanos()) {
			this.channel.close();
		}
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private final class ReportHandler extends SimpleChannelInboundHandler<HostReport> {

		private @Nullable HostReport newest;

		@Override
		protected void channelRead0(ChannelHandlerContext context, HostReport report) {
			if (HostLink.this.closed || context.channel() != HostLink.this.channel) {
				return;
			}
			if (!report.getHost().equals(HostLink.this.host)) {
				HostLink.this.listener.addressReused(HostLink.this.host, report.getHost());
				return;
			}
			receive(context, report);
		}

		private void receive(ChannelHandlerContext context, HostReport report) {
			HostLink.this.lastActivityNanos = HostLink.this.clock.nanoTime();
			HostLink.this.decoder.decode(report).ifPresentOrElse(this::keep, () -> {
				HostLink.this.listener.connectionFailed(HostLink.this.host,
						"report " + report.getSequence() + " does not follow the previous one");
				context.close();
			});
		}

		// A report describes the host as a whole, except for refusals, which are reported
		// once.
		private void keep(HostReport report) {
			this.newest = (this.newest == null) ? report
					: report.toBuilder().addAllRefused(this.newest.getRefusedList()).build();
		}

		/**
		 * Passes on the newest of the reports that were read at once. A leader that was
		 * busy for seconds finds several of each host, and the older ones are out of
		 * date.
		 */
		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			HostReport report = this.newest;
			this.newest = null;
			if (report != null && !HostLink.this.closed && context.channel() == HostLink.this.channel) {
				HostLink.this.listener.reportReceived(report);
			}
			context.fireChannelReadComplete();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!HostLink.this.closed && context.channel() == HostLink.this.channel) {
				HostLink.this.channel = null;
				HostLink.this.listener.connectionChanged(HostLink.this.host, false);
				HostLink.this.timer.schedule(RECONNECT_DELAY, HostLink.this::open);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			HostLink.this.listener.connectionFailed(HostLink.this.host, String.valueOf(cause));
			// The loss of the connection is handled when the channel becomes inactive.
			context.close();
		}

	}

}
