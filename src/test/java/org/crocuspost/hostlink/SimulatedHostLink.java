package org.crocuspost.hostlink;

import java.lang.reflect.Constructor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.jspecify.annotations.Nullable;

/**
 * Connection of a leader to an agent on virtual time, with the decoder of the reports and
 * the port of the agent that run in production. A path that is cut delivers nothing, and
 * what was sent arrives once it is restored, unless the connection was closed meanwhile.
 */
public final class SimulatedHostLink implements HostConnection {

	private static final Duration LATENCY = Duration.ofMillis(2);

	private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

	private static final Duration MAXIMUM_RECONNECT_DELAY = Duration.ofSeconds(1);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

	private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

	private static final Duration RETRANSMISSION_INTERVAL = Duration.ofMillis(200);

	private final String host;

	private final LeaderHello hello;

	private final HostLinkListener listener;

	private final Path path;

	private final Clock clock;

	private final Timer timer;

	private final Timer network;

	private @Nullable Connection connection;

	private Duration nextAttemptDelay = RECONNECT_DELAY;

	private boolean closed;

	/**
	 * Creates a closed link.
	 * @param host the name of the host
	 * @param hello the first message of the leader
	 * @param listener receives the reports
	 * @param path the path to the agent
	 * @param clock the clock of the leader's process
	 * @param timer the timer of the leader's process
	 * @param network the timer of the network
	 */
	public SimulatedHostLink(String host, LeaderHello hello, HostLinkListener listener, Path path, Clock clock,
			Timer timer, Timer network) {
		this.host = host;
		this.hello = hello;
		this.listener = listener;
		this.path = path;
		this.clock = clock;
		this.timer = timer;
		this.network = network;
	}

	/**
	 * Returns the name of the host.
	 * @return the name
	 */
	public String host() {
		return this.host;
	}

	@Override
	public void open() {
		if (this.closed) {
			return;
		}
		LeaderPort port = this.path.port().get();
		if (!this.path.toAgent().getAsBoolean() || !this.path.toLeader().getAsBoolean() || port == null) {
			this.timer.schedule(CONNECT_TIMEOUT.plus(this.nextAttemptDelay), this::open);
			Duration doubled = this.nextAttemptDelay.multipliedBy(2);
			this.nextAttemptDelay = (doubled.compareTo(MAXIMUM_RECONNECT_DELAY) < 0) ? doubled
					: MAXIMUM_RECONNECT_DELAY;
			return;
		}
		this.timer.schedule(LATENCY, () -> {
			if (this.closed || this.path.port().get() != port) {
				this.timer.schedule(RECONNECT_DELAY, this::open);
				return;
			}
			this.connection = new Connection(port);
			this.nextAttemptDelay = RECONNECT_DELAY;
			this.listener.connectionChanged(this.host, true);
			send(LeaderMessage.newBuilder().setHello(this.hello).build());
		});
	}

	@Override
	public void send(LeaderMessage message) {
		Connection current = this.connection;
		if (current != null) {
			current.decoder.endsRecorded(message.getWorkerBorn(), message.getRecordedEnds());
			current.toAgent.add(() -> {
				if (current.channel.isOpen()) {
					current.channel.writeInbound(message);
				}
			});
		}
	}

	@Override
	public void closeIfUnresponsive() {
		Connection current = this.connection;
		if (current != null && this.clock.nanoTime() - current.lastActivityNanos > REPORT_TIMEOUT.toNanos()) {
			current.closeAtAgent();
			lost(current);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.connection != null) {
			this.connection.closeAtAgent();
			this.connection = null;
		}
	}

	/**
	 * Resets the connection after the process of the leader or of the agent was killed.
	 */
	public void reset() {
		Connection current = this.connection;
		if (current != null) {
			current.closeAtAgent();
			current.toLeader.add(() -> this.timer.schedule(Duration.ZERO, () -> lost(current)));
		}
	}

	private void lost(Connection former) {
		if (this.connection == former && !this.closed) {
			this.connection = null;
			this.listener.connectionChanged(this.host, false);
			this.timer.schedule(RECONNECT_DELAY, this::open);
		}
	}

	/**
	 * Path between a leader and an agent.
	 *
	 * @param toAgent whether messages reach the agent
	 * @param toLeader whether messages reach the leader
	 * @param port the port of the running agent, or null if it does not run
	 */
	public record Path(BooleanSupplier toAgent, BooleanSupplier toLeader, Supplier<@Nullable LeaderPort> port) {
	}

	/**
	 * One established connection.
	 */
	private final class Connection {

		private final ReportDecoder decoder = new ReportDecoder();

		private final Direction toAgent;

		private final Direction toLeader;

		private final EmbeddedChannel channel;

		private long lastActivityNanos = SimulatedHostLink.this.clock.nanoTime();

		private Connection(LeaderPort port) {
			Supplier<@Nullable LeaderPort> running = SimulatedHostLink.this.path.port();
			this.toAgent = new Direction(SimulatedHostLink.this.path.toAgent(), () -> running.get() == port);
			this.toLeader = new Direction(SimulatedHostLink.this.path.toLeader(), () -> true);
			this.channel = new EmbeddedChannel(new OutboundHandler(this), messageHandler(port));
		}

		private void closeAtAgent() {
			this.toAgent.add(() -> this.channel.close());
		}

		private void received(HostReport report) {
			SimulatedHostLink link = SimulatedHostLink.this;
			link.timer.schedule(Duration.ZERO, () -> {
				if (link.connection != this || link.closed) {
					return;
				}
				this.lastActivityNanos = link.clock.nanoTime();
				this.decoder.decode(report).ifPresentOrElse(link.listener::reportReceived, () -> {
					link.listener.connectionFailed(link.host, "a report does not follow the previous one");
					closeAtAgent();
					lost(this);
				});
			});
		}

		private static ChannelHandler messageHandler(LeaderPort port) {
			try {
				Class<?> type = Class.forName(LeaderPort.class.getName() + "$MessageHandler");
				Constructor<?> constructor = type.getDeclaredConstructors()[0];
				constructor.setAccessible(true);
				return (ChannelHandler) constructor.newInstance(port);
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

	/**
	 * Sends the reports of an agent to the leader.
	 */
	private final class OutboundHandler extends ChannelOutboundHandlerAdapter {

		private final Connection owner;

		private OutboundHandler(Connection owner) {
			this.owner = owner;
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			this.owner.toLeader.add(() -> this.owner.received((HostReport) message));
			promise.setSuccess();
		}

		@Override
		public void close(ChannelHandlerContext context, ChannelPromise promise) {
			SimulatedHostLink link = SimulatedHostLink.this;
			this.owner.toLeader.add(() -> link.timer.schedule(Duration.ZERO, () -> lost(this.owner)));
			context.close(promise);
		}

	}

	/**
	 * One direction of a connection, which keeps the order of the messages.
	 */
	private final class Direction {

		private final BooleanSupplier open;

		private final BooleanSupplier receiverRuns;

		private final Deque<Runnable> messages = new ArrayDeque<>();

		private boolean draining;

		private Direction(BooleanSupplier open, BooleanSupplier receiverRuns) {
			this.open = open;
			this.receiverRuns = receiverRuns;
		}

		private void add(Runnable message) {
			this.messages.add(message);
			if (!this.draining) {
				this.draining = true;
				SimulatedHostLink.this.network.schedule(LATENCY, this::drain);
			}
		}

		private void drain() {
			if (!this.receiverRuns.getAsBoolean()) {
				this.messages.clear();
			}
			else if (!this.open.getAsBoolean()) {
				SimulatedHostLink.this.network.schedule(RETRANSMISSION_INTERVAL, this::drain);
				return;
			}
			this.draining = false;
			for (int count = this.messages.size(); count > 0; count--) {
				this.messages.remove().run();
			}
		}

	}

}
