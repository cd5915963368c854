package org.crocuspost.bench.distribution;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.Executor;

import io.netty.channel.EventLoopGroup;
import org.crocuspost.distribution.ConfigurationPublisher;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.distribution.HeadWatcher;
import org.crocuspost.membership.Addresses;
import org.crocuspost.membership.MemberDirectory;
import org.crocuspost.membership.MemberLease;
import org.crocuspost.membership.MemberRecord;
import org.crocuspost.membership.MembershipSettings;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.platform.objects.ObjectStore;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.release.NoteAcceptance;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Runs the parts of an entry that accept and distribute the configuration.
 */
final class BenchmarkEntry {

	private final HeadWatcher watcher;

	private final NoteAcceptance acceptance;

	private final MemberDirectory directory;

	private final TrafficMeter meter;

	private final PeerServer server;

	BenchmarkEntry(String name, TableService table, ObjectStore objects, DeploymentSecret secret, EventLoopGroup group,
			Clock clock, Timer timer, Executor blocking) {
		SnapshotStore snapshots = new SnapshotStore(objects);
		this.watcher = new HeadWatcher(table, snapshots, clock, timer, blocking, new Random(name.hashCode()));
		ConfigurationPublisher publisher = new ConfigurationPublisher(this.watcher, clock, timer);
		this.meter = new TrafficMeter(publisher);
		this.acceptance = new NoteAcceptance(table, snapshots, NoteRules.ANY_FAILURE_DOMAIN, clock, this.watcher);
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.ENTRY, name, name, "zone-0");
		this.server = PeerServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), group,
				PeerSettings.of(self, secret), this.meter, timer);
		MemberRecord initialRecord = new MemberRecord(self, Addresses.format(this.server.address()), 0, false,
				ConfirmationSummary.NONE);
		MemberLease lease = new MemberLease(initialRecord, MembershipSettings.DEFAULT, table, publisher::summary, clock,
				timer);
		publisher.addSummaryListener(lease::confirmationsChanged);
		this.directory = new MemberDirectory(MembershipSettings.DEFAULT, table, clock, timer);
		this.watcher.start();
		lease.start();
		this.directory.start();
	}

	InetSocketAddress address() {
		return this.server.address();
	}

	NoteAcceptance acceptance() {
		return this.acceptance;
	}

	MemberDirectory directory() {
		return this.directory;
	}

	HeadWatcher watcher() {
		return this.watcher;
	}

	TrafficMeter meter() {
		return this.meter;
	}

}
