package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.distribution.HeadWatcher;
import org.crocuspost.metrics.Health;
import org.crocuspost.metrics.HealthCheck;
import org.crocuspost.metrics.MonitoringServer;
import org.crocuspost.metrics.ProcessMetrics;
import org.crocuspost.operations.SchedulerBatchViews;
import org.crocuspost.operations.ViewQueryListener;
import org.crocuspost.peer.CompositePeerListener;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.scheduler.BatchScheduler;
import org.crocuspost.scheduler.SchedulerView;
import org.crocuspost.settings.SchedulerSettings;

/**
 * A scheduler: places the batch tasks of the failure domains whose lease it holds.
 */
public final class SchedulerProcess implements Daemon {

	private final HeadWatcher watcher;

	private final BatchScheduler scheduler;

	private final PeerServer peers;

	private final ProcessMembership membership;

	private final Health health;

	private final MonitoringServer monitoring;

	/**
	 * Starts a scheduler.
	 * @param settings the settings
	 * @param stores the platform's stores
	 * @param incarnation drawn at random for this process
	 * @param random spreads polls
	 * @param context the threads and the time of the process
	 */
	public SchedulerProcess(SchedulerSettings settings, PlatformStores stores, String incarnation,
			RandomGenerator random, ProcessContext context) {
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.SCHEDULER, settings.name(), incarnation,
				settings.failureDomain());
		this.watcher = new HeadWatcher(stores.table(), new SnapshotStore(stores.objects()), context.clock(),
				context.timer(), context.blockingExecutor(), random);
		SchedulerInterference interference = new SchedulerInterference(this.watcher, context.clock());
		this.scheduler = new BatchScheduler(BatchTimes.of(settings), self, stores.table(), this.watcher,
				new DefaultPlacementPolicy(interference), context.clock(), context.blockingTimer("rounds"));
		this.scheduler.addReportListener(interference);
		this.peers = PeerServer.start(settings.addresses().peers(), context.eventLoopGroup(),
				PeerSettings.of(self, new DeploymentSecret(settings.secret().reveal())),
				new CompositePeerListener(
						List.of(this.scheduler, new ViewQueryListener(SchedulerBatchViews.of(this.scheduler.view())))),
				context.timer());
		this.membership = new ProcessMembership(self, this.peers.address(),
				() -> ConfirmationSummary.of(this.watcher.current()),
				ProcessMembership.times(settings.times().memberLease(), settings.times().storePoll()), stores.table(),
				context);
		this.health = new Health(List.of(), List.of(new HealthCheck("configuration", this.watcher::ready),
				new HealthCheck("member", this.membership::held)));
		PrometheusRegistry registry = new PrometheusRegistry();
		ProcessMetrics.register(registry);
		this.monitoring = MonitoringServer.start(settings.addresses().monitoring(), registry, this.health);
		this.watcher.addListener((configuration) -> this.membership.changed());
		this.watcher.start();
		this.membership.start();
		this.scheduler.start();
	}

	/**
	 * Returns where agents connect.
	 * @return the address
	 */
	public InetSocketAddress peerAddress() {
		return this.peers.address();
	}

	/**
	 * Returns what this scheduler knows, for operators.
	 * @return the view
	 */
	public SchedulerView view() {
		return this.scheduler.view();
	}

	/**
	 * Returns where metrics and health are served.
	 * @return the address
	 */
	public InetSocketAddress monitoringAddress() {
		return this.monitoring.address();
	}

	@Override
	public void stop() {
		this.health.drain();
		this.scheduler.stop();
		this.membership.stop();
		this.watcher.stop();
		this.peers.close();
		this.monitoring.close();
	}

}
