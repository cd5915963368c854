package org.crocuspost.hostlink;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.net.Sockets;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.SystemClock;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the connections of leaders to an agent on the loopback interface.
 */
class HostLinkTests {

	private static final long TIMEOUT_SECONDS = 20;

	private final EventLoopGroup group = Sockets.eventLoop("test");

	private final EventLoop loop = this.group.next();

	private final BlockingQueue<String> leaderEvents = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> agentEvents = new LinkedBlockingQueue<>();

	private final LeaderPort port = new LeaderPort(new AgentListener());

	private final InetSocketAddress address = this.port.bind(this.loop, new InetSocketAddress("127.0.0.1", 0));

	@AfterEach
	void shutDown() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private HostLink open(String host, long epoch) {
		HostLink link = new HostLink(host, this.address,
				LeaderHello.newBuilder().setEpoch(epoch).setReadsChanges(true).build(),
				new TrafficCounters(new PrometheusRegistry()), this.loop, new ExecutorTimer(this.loop),
				new SystemClock(), new LeaderListener());
		this.loop.execute(link::open);
		return link;
	}

	private static String next(BlockingQueue<String> events) throws InterruptedException {
		String event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(event).isNotNull();
		return event;
	}

	private void sendReport(String host, int runs) {
		this.loop.execute(() -> {
			HostReport.Builder report = HostReport.newBuilder().setHost(host);
			for (int run = 0; run < runs; run++) {
				report.addRunning(RunningTask.newBuilder().setTask(TaskName.newBuilder().setIndex(run)).setRun(1));
			}
			this.port.send(report.build());
		});
	}

	@Test
	void reportsOfOneConnectionArriveWhole() throws InterruptedException {
		open("host", 1);
		assertThat(next(this.agentEvents)).isEqualTo("hello 1");
		assertThat(next(this.leaderEvents)).isEqualTo("host open");
		sendReport("host", 3);
		assertThat(next(this.leaderEvents)).isEqualTo("host reports 3");
		sendReport("host", 2);
		assertThat(next(this.leaderEvents)).isEqualTo("host reports 2");
	}

	/**
	 * Guards against a leader that was busy and processes each of the reports that have
	 * arrived meanwhile, and against refusals that are lost with the reports passed over.
	 */
	@Test
	void onlyTheNewestOfTheReportsReadAtOnceIsPassedOn() throws InterruptedException {
		open("host", 1);
		assertThat(next(this.agentEvents)).isEqualTo("hello 1");
		assertThat(next(this.leaderEvents)).isEqualTo("host open");
		this.loop.execute(() -> {
			for (String reason : List.of("first", "second", "third")) {
				this.port.send(HostReport.newBuilder()
					.setHost("host")
					.addRefused(RefusedStart.newBuilder().setReason(reason))
					.build());
			}
		});
		assertThat(next(this.leaderEvents)).isEqualTo("host reports 0 refused third refused second refused first");
	}

	/**
	 * The address of a host that is gone is given to another one. If the leader kept both
	 * links, each would push out the other at the agent.
	 */
	@Test
	void anotherHostAtTheAddressIsNoticed() throws InterruptedException {
		open("gone", 1);
		assertThat(next(this.leaderEvents)).isEqualTo("gone open");
		assertThat(next(this.agentEvents)).isEqualTo("hello 1");
		sendReport("other", 1);
		assertThat(next(this.leaderEvents)).isEqualTo("gone is now other");
	}

	/**
	 * A restarted agent knows no epoch. A former leader that reaches it first must not be
	 * obeyed once the store has shown a newer one.
	 */
	@Test
	void formerLeaderIsRefusedByAnAgentThatHasReadTheEpoch() throws InterruptedException {
		assertThat(onLoop(() -> {
			this.port.requireEpoch(5);
			return this.port.epoch();
		})).isEqualTo(5L);
		HostLink former = open("host", 4);
		assertThat(next(this.leaderEvents)).isEqualTo("host open");
		assertThat(next(this.leaderEvents)).isEqualTo("host closed");
		this.loop.execute(former::close);
		open("host", 5);
		assertThat(next(this.agentEvents)).isEqualTo("hello 5");
	}

	private <T> T onLoop(Supplier<T> action) throws InterruptedException {
		return this.loop.submit(action::get).sync().getNow();
	}

	private final class AgentListener implements LeaderPortListener {

		@Override
		public void helloReceived(LeaderHello hello) {
			HostLinkTests.this.agentEvents.add("hello " + hello.getEpoch());
		}

		@Override
		public void messageReceived(LeaderMessage message) {
		}

		@Override
		public void connectionFailed(String reason) {
		}

		@Override
		public void connectionLost() {
		}

	}

	private final class LeaderListener implements HostLinkListener {

		@Override
		public void connectionChanged(String host, boolean open) {
			HostLinkTests.this.leaderEvents.add(host + (open ? " open" : " closed"));
		}

		@Override
		public void connectionFailed(String host, String reason) {
			HostLinkTests.this.leaderEvents.add(host + " failed: " + reason);
		}

		@Override
		public void addressReused(String host, String answering) {
			HostLinkTests.this.leaderEvents.add(host + " is now " + answering);
		}

		@Override
		public void reportReceived(HostReport report) {
			String refused = report.getRefusedList()
				.stream()
				.map((start) -> " refused " + start.getReason())
				.collect(Collectors.joining());
			HostLinkTests.this.leaderEvents.add(report.getHost() + " reports " + report.getRunningCount() + refused);
		}

	}

}
