package org.crocuspost.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.crocuspost.json.Json;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.shard.ShardRecord;
import org.crocuspost.wire.Frame;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AgentConnectionsTests {

	private static final PeerIdentity ENTRY = MembershipFixture.entry("e1", "e1-i1");

	private final MembershipFixture fixture = new MembershipFixture();

	private final List<InetSocketAddress> openAddresses = new ArrayList<>();

	private final List<String> events = new ArrayList<>();

	private final AgentConnectionSettings settings = AgentConnectionSettings.of("agent-1", "bkk-a", 2);

	private final AgentConnections connections = new AgentConnections(this.settings,
			new EntryFinder(this.fixture.table, "bkk-a"), this::dial, new RecordingListener(), this.fixture.time,
			this.fixture.time, new Random(1));

	@Test
	void agentWithoutConnectionFindsEntriesAndItsSchedulerInTheTable() {
		join(ENTRY, "10.0.0.1:7400");
		this.fixture.join(MembershipFixture.scheduler("s1", "s1-i1"), "10.0.0.3:7500");
		shard("s1", "s1-i1", 1);
		start();
		assertThat(this.openAddresses).containsExactlyInAnyOrder(MembershipFixture.address("10.0.0.1:7400"),
				MembershipFixture.address("10.0.0.3:7500"));
	}

	@Test
	void searchBacksOffDuringAnOutage() {
		join(ENTRY, "10.0.0.1:7400");
		this.fixture.table.faults().down(true);
		start();
		long before = this.fixture.table.counts().reads();
		advance(Duration.ofMinutes(10));
		assertThat(this.fixture.table.counts().reads() - before).isBetween(60L, 150L);
		assertThat(this.openAddresses).isEmpty();
		this.fixture.table.faults().down(false);
		advance(this.settings.maximumSearchDelay());
		assertThat(this.openAddresses).containsExactly(MembershipFixture.address("10.0.0.1:7400"));
	}

	@Test
	void connectedAgentDoesNotReadTheTable() {
		join(ENTRY, "10.0.0.1:7400");
		start();
		this.connections.connected(new FakePeer(ENTRY));
		long before = this.fixture.table.counts().reads();
		advance(Duration.ofMinutes(10));
		assertThat(this.fixture.table.counts().reads()).isEqualTo(before);
	}

	@Test
	void repeatedSearchesTryDifferentEntries() {
		for (int entry = 1; entry <= 12; entry++) {
			join(MembershipFixture.entry("e" + entry, "i" + entry), "10.0.0." + entry + ":7400");
		}
		List<InetSocketAddress> dialed = new ArrayList<>();
		start();
		for (int search = 0; search < 60; search++) {
			dialed.addAll(this.openAddresses);
			advance(Duration.ofSeconds(1));
		}
		assertThat(dialed.stream().distinct()).hasSizeGreaterThan(6);
	}

	@Test
	void connectionToUnexpectedProcessIsClosedWithoutNotifyingTheListener() {
		join(ENTRY, "10.0.0.1:7400");
		start();
		List<PeerIdentity> others = List.of(MembershipFixture.entry("e1", "e1-i2"),
				MembershipFixture.entry("e2", "e1-i1"), MembershipFixture.scheduler("e1", "e1-i1"));
		for (PeerIdentity other : others) {
			FakePeer peer = new FakePeer(other);
			this.connections.connected(peer);
			this.connections.received(peer, directory(0, MembershipFixture.member(other, "10.0.0.9:1")));
			this.connections.disconnected(peer);
			assertThat(peer.closed).isTrue();
		}
		assertThat(this.events).isEmpty();
		FakePeer listed = new FakePeer(ENTRY);
		this.connections.connected(listed);
		assertThat(listed.closed).isFalse();
		assertThat(this.events).containsExactly("connected e1");
	}

	@Test
	void connectionInUseLingersAfterItsEntryIsDeselected() {
		FakePeer peer = connectedEntry();
		Member other = MembershipFixture.member(MembershipFixture.entry("e2", "e2-i1"), "10.0.0.2:7400");
		this.connections.received(peer, directory(0, other));
		assertThat(this.openAddresses).containsExactlyInAnyOrder(MembershipFixture.address("10.0.0.1:7400"),
				MembershipFixture.address("10.0.0.2:7400"));
		advance(this.settings.linger().minusMillis(1));
		assertThat(this.openAddresses).hasSize(2);
		advance(Duration.ofMillis(1));
		assertThat(this.openAddresses).containsExactly(MembershipFixture.address("10.0.0.2:7400"));
	}

	@Test
	void lingeringConnectionIsNotDialedAgain() {
		FakePeer peer = connectedEntry();
		this.connections.received(peer,
				directory(0, MembershipFixture.member(MembershipFixture.entry("e2", "e2-i1"), "10.0.0.2:7400")));
		this.connections.disconnected(peer);
		assertThat(this.openAddresses).containsExactly(MembershipFixture.address("10.0.0.2:7400"));
	}

	@Test
	void staleDirectoryDoesNotReplaceANewerOne() {
		FakePeer peer = connectedEntry();
		Member own = MembershipFixture.member(ENTRY, "10.0.0.1:7400");
		Member other = MembershipFixture.member(MembershipFixture.entry("e2", "e2-i1"), "10.0.0.2:7400");
		Member ended = MembershipFixture.member(MembershipFixture.entry("e3", "e3-i1"), "10.0.0.3:7400");
		this.connections.received(peer, directory(0, own, other));
		advance(Duration.ofSeconds(5));
		this.connections.received(peer, directory(60_000, own, ended));
		assertThat(this.openAddresses).containsExactlyInAnyOrder(own.address(), other.address());
	}

	@Test
	void schedulerWithTheHighestEpochIsUsed() {
		FakePeer peer = connectedEntry();
		Member own = MembershipFixture.member(ENTRY, "10.0.0.1:7400");
		this.connections.received(peer, holder(own, 4, "10.0.0.4:7500"));
		this.connections.received(peer, holder(own, 6, "10.0.0.6:7500"));
		this.connections.received(peer, holder(own, 5, "10.0.0.5:7500"));
		assertThat(this.openAddresses).containsExactlyInAnyOrder(own.address(),
				MembershipFixture.address("10.0.0.6:7500"));
	}

	@Test
	void directoryIsSentToAgentsOnConnectAndOnChange() {
		MemberDirectory directory = this.fixture.directory();
		DirectoryPublisher publisher = new DirectoryPublisher(directory);
		join(ENTRY, "10.0.0.1:7400");
		advance(Duration.ofSeconds(2));
		FakePeer agent = new FakePeer(new PeerIdentity(PeerIdentity.Role.AGENT, "agent-1", "a-i1", "bkk-a"));
		publisher.connected(agent);
		assertThat(agent.sent).hasSize(1);
		join(MembershipFixture.entry("e2", "e2-i1"), "10.0.0.2:7400");
		advance(Duration.ofSeconds(30));
		assertThat(agent.sent).hasSize(2);
		AgentView[] received = { AgentView.NONE };
		DirectoryReceiver receiver = new DirectoryReceiver("bkk-a", this.fixture.time, (view) -> received[0] = view);
		receiver.received(new FakePeer(ENTRY), agent.sent.get(1));
		assertThat(received[0].entries()).isEqualTo(directory.members().entries());
		publisher.disconnected(agent);
		join(MembershipFixture.entry("e3", "e3-i1"), "10.0.0.3:7400");
		advance(Duration.ofSeconds(2));
		assertThat(agent.sent).hasSize(2);
	}

	private FakePeer connectedEntry() {
		join(ENTRY, "10.0.0.1:7400");
		start();
		FakePeer peer = new FakePeer(ENTRY);
		this.connections.connected(peer);
		return peer;
	}

	private void join(PeerIdentity identity, String address) {
		this.fixture.join(identity, address);
	}

	private void start() {
		advance(Duration.ofMillis(1));
		this.connections.start();
		advance(Duration.ofMillis(1));
	}

	private void advance(Duration duration) {
		this.fixture.time.advance(duration);
	}

	private void shard(String holder, String incarnation, long epoch) {
		ShardRecord shard = new ShardRecord("bkk-a", holder, incarnation, epoch, 1, 0);
		this.fixture.table.commit(Transaction.empty().put("shard/bkk-a", Json.write(shard)));
	}

	private org.crocuspost.time.Cancellable dial(InetSocketAddress address) {
		this.openAddresses.add(address);
		return () -> this.openAddresses.remove(address);
	}

	private static Frame directory(long ageMilliseconds, Member... entries) {
		Members members = new Members(List.of(entries), List.of(), List.of());
		return Frame.newBuilder()
			.setDirectory(DirectoryMessages.encode(members, "bkk-a", Duration.ofMillis(ageMilliseconds)))
			.build();
	}

	private static Frame holder(Member entry, long epoch, String address) {
		Member scheduler = MembershipFixture.member(MembershipFixture.scheduler("s" + epoch, "i" + epoch), address);
		Members members = new Members(List.of(entry), List.of(scheduler),
				List.of(new ShardHolderMember("bkk-a", epoch, scheduler)));
		return Frame.newBuilder().setDirectory(DirectoryMessages.encode(members, "bkk-a", Duration.ZERO)).build();
	}

	private final class RecordingListener implements PeerListener {

		@Override
		public void connected(Peer peer) {
			AgentConnectionsTests.this.events.add("connected " + peer.identity().name());
		}

		@Override
		public void received(Peer peer, Frame frame) {
			AgentConnectionsTests.this.events.add("received " + peer.identity().name());
		}

		@Override
		public void disconnected(Peer peer) {
			AgentConnectionsTests.this.events.add("disconnected " + peer.identity().name());
		}

	}

}
