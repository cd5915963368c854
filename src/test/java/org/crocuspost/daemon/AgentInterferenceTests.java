package org.crocuspost.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.bench.batch.VirtualWorker;
import org.crocuspost.distribution.AgentEndpoint;
import org.crocuspost.distribution.ConfigurationReceiver;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.standin.process.MemoryLink;
import org.crocuspost.standin.process.VirtualProcess;
import org.crocuspost.standin.worker.TaskBehavior;
import org.crocuspost.wire.ConfigurationUpdate;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.worker.RunningAttempt;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AgentInterferenceTests {

	private static final Resources WORKER = new Resources(8000, 16_000, 0);

	private static final Resources TASK = new Resources(4000, 1000, 0);

	private static final Duration RUN_TIME = Duration.ofHours(1);

	private static final Duration LINK_DELAY = Duration.ofMillis(1);

	private static final Duration SLOW = Duration.ofMillis(400);

	private static final int REQUESTS_PER_SECOND = 20;

	private static final Duration RELEASE_BOUND = Duration.ofSeconds(30);

	private static final String SERVICE = """
			{"name": "wallet", "match": {"host": "*", "pathPrefix": "/"}, "priority": 1, "timeout": "PT1S",
			"objective": {"latency": "PT0.2S", "latencyQuantile": 0.99, "availability": 0.9},
			"idempotentMethods": []}""";

	private final BatchDeployment deployment = new BatchDeployment(List.of("north"),
			(start) -> new TaskBehavior(RUN_TIME, start.resources(), false));

	private final ConfigurationReceiver receiver = new ConfigurationReceiver(AgentEndpoint.NONE,
			this.deployment.time());

	private final AgentInterference interference = new AgentInterference("wallet", WORKER, this.receiver,
			this.deployment.time());

	private final EntryStandIn entry = new EntryStandIn();

	@Test
	void workIsReleasedWhenTheServiceIsWithdrawn() {
		this.deployment.addWorkers("north", 1, WORKER);
		VirtualWorker worker = this.deployment.worker("north-w0");
		this.interference.start(worker.agent(), this.deployment.time());
		connectEntry(worker);
		adopt(1, List.of(SERVICE));
		worker.runtime().start(new TaskStart(new AttemptKey("report/0", 1), "report", TASK, "", RUN_TIME));
		serveSlowly(Duration.ofSeconds(30));
		assertThat(worker.agent().running().map(RunningAttempt::throttlePercent)).allMatch((percent) -> percent < 50);
		adopt(2, List.of());
		this.deployment.advance(RELEASE_BOUND);
		assertThat(worker.agent().running().map(RunningAttempt::throttlePercent)).containsExactly(100);
		assertThat(this.interference.pressureThousandths()).isZero();
		WorkerReport.Builder report = WorkerReport.newBuilder();
		this.interference.contribute(report);
		assertThat(report.getPairEffectsList()).isEmpty();
	}

	private void serveSlowly(Duration duration) {
		for (long second = 0; second < duration.toSeconds(); second++) {
			for (int request = 0; request < REQUESTS_PER_SECOND; request++) {
				this.interference.window().record(SLOW);
			}
			this.deployment.advance(Duration.ofSeconds(1));
		}
	}

	private void adopt(long version, List<String> services) {
		ConfigurationUpdate update = ConfigurationUpdate.newBuilder()
			.setVersion(version)
			.setRenewal(true)
			.addAllServices(services)
			.build();
		this.entry.peer().send(Frame.newBuilder().setConfigurationUpdate(update).build());
	}

	private void connectEntry(VirtualWorker worker) {
		PeerIdentity agent = new PeerIdentity(PeerIdentity.Role.AGENT, worker.name(), "1", worker.domain());
		PeerIdentity identity = new PeerIdentity(PeerIdentity.Role.ENTRY, "entry", "1", worker.domain());
		new MemoryLink(this.deployment.time(), LINK_DELAY, new MemoryLink.End(worker.process(), agent, this.receiver),
				new MemoryLink.End(new VirtualProcess(this.deployment.time()), identity, this.entry));
	}

	/**
	 * Entry that knows one agent.
	 */
	private static final class EntryStandIn implements PeerListener {

		private final List<Peer> agents = new ArrayList<>();

		Peer peer() {
			return this.agents.get(0);
		}

		@Override
		public void connected(Peer peer) {
			this.agents.add(peer);
		}

		@Override
		public void received(Peer peer, Frame frame) {
		}

		@Override
		public void disconnected(Peer peer) {
			this.agents.remove(peer);
		}

	}

}
