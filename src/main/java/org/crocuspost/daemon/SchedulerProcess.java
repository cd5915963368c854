package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

import org.crocuspost.distribution.HeadWatcher;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.scheduler.BatchScheduler;
import org.crocuspost.settings.SchedulerSettings;

/**
 * A scheduler: places the batch tasks of the failure domains whose lease it holds.
 */
public final class SchedulerProcess implements Daemon {

	private final HeadWatcher watcher;

	private final BatchScheduler scheduler;

	private final PeerServer peers;

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
				context.timer(), context.blocking(), random);
		this.scheduler = new BatchScheduler(
				org.crocuspost.scheduler.SchedulerSettings.defaults(settings.failureDomains()), self, stores.table(),
				this.watcher, new DefaultPlacementPolicy(PairPenalty.NONE), context.clock(), context.blockingTimer());
		this.peers = PeerServer.start(settings.addresses().peers(), context.network(),
				PeerSettings.of(self, new DeploymentSecret(settings.secret().reveal())), this.scheduler,
				context.timer());
		this.watcher.start();
		this.scheduler.start();
	}

	/**
	 * Returns where agents connect.
	 * @return the address
	 */
	public InetSocketAddress peerAddress() {
		return this.peers.address();
	}

	@Override
	public void stop() {
		this.scheduler.stop();
		this.watcher.stop();
		this.peers.close();
	}

}
