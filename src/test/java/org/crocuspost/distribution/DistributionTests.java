package org.crocuspost.distribution;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.release.NoteAcceptance;
import org.crocuspost.release.NoteOutcome;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.NoteTexts;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DistributionTests {

	private static final AgentEndpoint ENDPOINT = new AgentEndpoint("shop", "shop-1");

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final TableStandIn table = new TableStandIn();

	private final ObjectStandIn objects = new ObjectStandIn();

	private final NoteAcceptance acceptance = new NoteAcceptance(this.table, new SnapshotStore(this.objects),
			NoteRules.ANY_FAILURE_DOMAIN, this.time, (configuration) -> {
			});

	private final Entry first = new Entry("entry-1");

	private final Entry second = new Entry("entry-2");

	private final Agent agent = new Agent("agent-1");

	private final List<PeerPair> pairs = new ArrayList<>();

	private long version;

	@Test
	void agentGetsItsOwnPart() {
		accept("\"added\": {\"services\": {\"shop\": " + NoteTexts.service("shop") + ", \"desk\": "
				+ NoteTexts.service("desk") + "}}");
		accept("\"withdrawn\": {\"endpoints\": [\"shop-1\", \"desk-1\"]}, \"domains\": {\"out\": [\"zone-b\"]}");
		connect(this.agent, this.first);
		pass(Duration.ofSeconds(1));
		AgentConfiguration configuration = this.agent.receiver.current();
		assertThat(configuration.version()).isEqualTo(2);
		assertThat(configuration.services()).singleElement().matches((service) -> service.name().equals("shop"));
		assertThat(configuration.endpointsWithdrawn()).containsExactly("shop-1");
		assertThat(configuration.domainOut()).isFalse();
		assertThat(this.agent.receiver.allowsTaskStarts()).isTrue();
	}

	@Test
	void unchangedPartTravelsAsVersionOnly() {
		accept("\"added\": {\"services\": {\"shop\": " + NoteTexts.service("shop") + "}}");
		PeerPair pair = connect(this.agent, this.first);
		pass(Duration.ofSeconds(1));
		long before = pair.bytesToAgent();
		accept("\"domains\": {\"out\": [\"zone-b\"]}");
		pass(Duration.ofSeconds(1));
		assertThat(this.agent.receiver.current().version()).isEqualTo(2);
		assertThat(this.agent.receiver.current().services()).hasSize(1);
		assertThat(pair.bytesToAgent() - before).isLessThan(50);
	}

	@Test
	void partThatChangedAtAVersionFromAnotherEntryIsSentWhole() {
		accept("\"added\": {\"services\": {\"shop\": " + NoteTexts.service("shop") + "}}");
		PeerPair slow = connect(this.agent, this.first);
		PeerPair fast = connect(this.agent, this.second);
		pass(Duration.ofSeconds(1));
		accept("\"withdrawn\": {\"endpoints\": [\"shop-1\"]}");
		this.second.watcher.poll();
		fast.deliverAll();
		accept("\"added\": {\"endpoints\": [\"shop-1\"]}");
		this.first.watcher.poll();
		slow.deliverAll();
		assertThat(this.agent.receiver.current().version()).isEqualTo(3);
		assertThat(this.agent.receiver.current().endpointsWithdrawn()).isEmpty();
	}

	@Test
	void overtakenUpdateIsIgnored() {
		PeerPair slow = connect(this.agent, this.first);
		PeerPair fast = connect(this.agent, this.second);
		pass(Duration.ofSeconds(1));
		accept("\"domains\": {\"out\": [\"zone-a\"]}");
		this.first.watcher.poll();
		accept("\"domains\": {\"back\": [\"zone-a\"]}");
		this.second.watcher.poll();
		fast.deliverAll();
		slow.deliverAll();
		assertThat(this.agent.versions).containsExactly(2L);
		assertThat(this.agent.receiver.current().domainOut()).isFalse();
		assertThat(this.first.watcher.behind()).isTrue();
	}

	@Test
	void staleReadAfterNewerVersionIsIgnored() {
		accept("\"domains\": {\"out\": [\"zone-a\"]}");
		this.table.faults().staleReads(true);
		this.table.read("any");
		Configuration newer = new Configuration(2, "newer", Map.of(), Map.of(), Set.of(), Set.of(), Map.of());
		this.first.watcher.configurationChanged(newer);
		this.first.watcher.poll();
		assertThat(this.first.watcher.current()).isEqualTo(newer);
	}

	@Test
	void restartedEntryNeverBeginsOnAnOlderVersion() {
		this.table.faults().staleReads(true);
		this.table.read("any");
		accept("\"domains\": {\"out\": [\"zone-a\"]}");
		Entry restarted = new Entry("entry-1");
		assertThat(restarted.watcher.ready()).isTrue();
		assertThat(restarted.watcher.current().version()).isEqualTo(1);
	}

	@Test
	void laggingEntryCatchesUpOnceAnAgentActsOnANewerVersion() {
		accept("\"domains\": {\"out\": [\"zone-b\"]}");
		connect(this.agent, this.first);
		connect(this.agent, this.second);
		pass(Duration.ofSeconds(1));
		this.table.faults().staleReads(true);
		this.table.read("any");
		accept("\"domains\": {\"out\": [\"zone-a\"]}");
		pass(Duration.ofSeconds(1));
		assertThat(this.first.watcher.current().version()).isEqualTo(1);
		this.second.watcher.heardOf(2);
		pass(Duration.ofSeconds(2));
		assertThat(this.first.watcher.current().version()).isEqualTo(2);
	}

	@Test
	void versionThatDoesNotExistIsRefutedByAConfirmedRead() {
		accept("\"domains\": {\"out\": [\"zone-b\"]}");
		connect(this.agent, this.first);
		this.first.watcher.heardOf(Long.MAX_VALUE);
		assertThat(this.first.watcher.behind()).isTrue();
		pass(Duration.ofSeconds(5));
		assertThat(this.first.watcher.behind()).isFalse();
		assertThat(this.agent.receiver.allowsTaskStarts()).isTrue();
	}

	@Test
	void agentThatMissedManyVersionsGetsTheNewestAtOnce() {
		connect(this.agent, this.first).cut();
		for (int index = 0; index < 500; index++) {
			accept("\"domains\": {\"out\": [\"zone-a\"]}");
			accept("\"domains\": {\"back\": [\"zone-a\"]}");
		}
		connect(this.agent, this.first);
		pass(Duration.ofSeconds(1));
		assertThat(this.agent.versions).containsExactly(1_000L);
	}

	@Test
	void agentThatIsCutOffLosesItsRightToStartBeforeTheVersionIsInForce() {
		accept("\"added\": {\"services\": {\"shop\": " + NoteTexts.service("shop") + "}}");
		connect(this.agent, this.first);
		pass(Duration.ofSeconds(3));
		assertThat(inForce(1).inForce()).isTrue();
		cutAll();
		accept("\"domains\": {\"out\": [\"zone-a\"]}");
		boolean awaitedWhileAllowed = true;
		for (int tick = 0; tick < 200; tick++) {
			pass(Duration.ofMillis(100));
			awaitedWhileAllowed &= !(this.agent.receiver.allowsTaskStarts() && inForce(2).inForce());
		}
		assertThat(awaitedWhileAllowed).isTrue();
		assertThat(this.agent.receiver.allowsTaskStarts()).isFalse();
		assertThat(inForce(2).inForce()).isTrue();
	}

	@Test
	void awaitedProcessesAreNamed() {
		accept("\"added\": {\"services\": {\"shop\": " + NoteTexts.service("shop") + "}}");
		connect(this.agent, this.first);
		pass(Duration.ofSeconds(1));
		cutAll();
		accept("\"domains\": {\"out\": [\"zone-b\"]}");
		this.first.watcher.poll();
		assertThat(inForce(2).inForce()).isFalse();
		assertThat(inForce(2).awaited()).containsExactly(new AwaitedProcess("agent", "agent-1", 1),
				new AwaitedProcess("entry", "entry-2", 1));
	}

	@Test
	void storeOutageKeepsTheLastConfigurationAndEndsStarts() {
		accept("\"added\": {\"services\": {\"shop\": " + NoteTexts.service("shop") + "}}");
		connect(this.agent, this.first);
		pass(Duration.ofSeconds(1));
		this.table.faults().down(true);
		pass(Duration.ofSeconds(60));
		assertThat(this.first.watcher.current().services()).containsOnlyKeys("shop");
		assertThat(this.agent.receiver.current().services()).hasSize(1);
		assertThat(this.agent.receiver.allowsTaskStarts()).isFalse();
		this.table.faults().down(false);
		pass(Duration.ofSeconds(5));
		assertThat(this.agent.receiver.allowsTaskStarts()).isTrue();
	}

	private PeerPair connect(Agent connecting, Entry entry) {
		PeerPair pair = new PeerPair(connecting.name, "zone-a", connecting.receiver, entry.name, entry.publisher);
		pair.deliverAll();
		this.pairs.add(pair);
		return pair;
	}

	private void cutAll() {
		this.pairs.forEach(PeerPair::cut);
		this.pairs.clear();
	}

	private void pass(Duration duration) {
		for (long passed = 0; passed < duration.toMillis(); passed += 100) {
			this.time.advance(Duration.ofMillis(100));
			this.pairs.forEach(PeerPair::deliverAll);
		}
	}

	private void accept(String sections) {
		String text = NoteTexts.note("note-" + this.version, this.version, sections);
		assertThat(this.acceptance.submit(text)).isInstanceOf(NoteOutcome.Accepted.class);
		this.version++;
	}

	private InForceStatus inForce(long wanted) {
		return InForceStatus.of(wanted, List.of(this.first.confirmation(), this.second.confirmation()));
	}

	private final class Entry {

		private final String name;

		private final HeadWatcher watcher;

		private final ConfigurationPublisher publisher;

		private Entry(String name) {
			this.name = name;
			this.watcher = new HeadWatcher(DistributionTests.this.table,
					new SnapshotStore(DistributionTests.this.objects), DistributionTests.this.time,
					DistributionTests.this.time, Runnable::run, new Random(1));
			this.publisher = new ConfigurationPublisher(this.watcher, DistributionTests.this.time,
					DistributionTests.this.time);
			this.watcher.start();
		}

		private ProcessConfirmation confirmation() {
			return new ProcessConfirmation("entry", this.name, this.publisher.summary());
		}

	}

	private final class Agent {

		private final String name;

		private final ConfigurationReceiver receiver;

		private final List<Long> versions = new ArrayList<>();

		private Agent(String name) {
			this.name = name;
			this.receiver = new ConfigurationReceiver(ENDPOINT, DistributionTests.this.time);
			this.receiver.addListener((configuration) -> this.versions.add(configuration.version()));
		}

	}

}
