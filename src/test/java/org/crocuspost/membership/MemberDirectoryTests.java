package org.crocuspost.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.distribution.InForceStatus;
import org.crocuspost.distribution.ProcessConfirmation;
import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.shard.ShardRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MemberDirectoryTests {

	private static final Duration POLL = MembershipFixture.SETTINGS.poll();

	private static final Duration LEASE = MembershipFixture.SETTINGS.lease();

	private final MembershipFixture fixture = new MembershipFixture();

	private final MemberDirectory directory = this.fixture.directory();

	private final List<Members> changes = new ArrayList<>();

	@Test
	void processIsSeenWithinAPoll() {
		this.directory.addListener(this.changes::add);
		join("e1");
		advance(POLL);
		Member member = MembershipFixture.member(MembershipFixture.entry("e1", "e1-i1"), "10.0.0.1:7400");
		assertThat(this.directory.members().entries()).containsExactly(member);
		assertThat(this.changes).hasSize(1);
	}

	@Test
	void processThatDiesIsLiveForItsLeaseAndNoLonger() {
		join("e1");
		MemberLease dies = join("e2");
		advance(Duration.ofSeconds(30));
		kill(dies);
		advance(LEASE.minus(MembershipFixture.SETTINGS.renewal()).minus(POLL));
		assertThat(names()).containsExactly("e1", "e2");
		advance(MembershipFixture.SETTINGS.renewal().plus(POLL.multipliedBy(2)));
		assertThat(names()).containsExactly("e1");
	}

	@Test
	void processThatLeavesIsGoneWithinAPoll() {
		MemberLease leaves = join("e1");
		join("e2");
		advance(Duration.ofSeconds(5));
		leaves.stop();
		advance(POLL);
		assertThat(names()).containsExactly("e2");
	}

	@Test
	void nobodyIsLostWhileTheTableCannotBeRead() {
		join("e1");
		MemberLease dies = join("e2");
		advance(Duration.ofSeconds(5));
		this.fixture.table.faults().down(true);
		kill(dies);
		advance(Duration.ofMinutes(10));
		assertThat(names()).containsExactly("e1", "e2");
		this.fixture.table.faults().down(false);
		advance(POLL);
		assertThat(names()).containsExactly("e1", "e2");
		advance(LEASE.plus(POLL));
		assertThat(names()).containsExactly("e1");
	}

	@Test
	void laggingReplicaBringsNobodyBack() {
		MemberLease leaves = join("e1");
		join("e2");
		advance(Duration.ofSeconds(5));
		this.fixture.table.faults().staleReads(true);
		advance(POLL);
		this.fixture.table.faults().staleReads(false);
		leaves.stop();
		advance(POLL);
		this.changes.clear();
		this.directory.addListener(this.changes::add);
		this.fixture.table.faults().staleReads(true);
		advance(POLL);
		assertThat(names()).containsExactly("e2");
		assertThat(this.changes).isEmpty();
	}

	@Test
	void processAtAnAddressThatWasUsedBeforeIsAnotherMember() {
		kill(join("e1"));
		this.fixture.join(MembershipFixture.entry("e9", "e9-i1"), "10.0.0.1:7400");
		advance(POLL);
		assertThat(this.directory.members().entries()).extracting((member) -> member.identity().incarnation())
			.containsExactly("e1-i1", "e9-i1");
		advance(LEASE);
		assertThat(this.directory.members().entries()).extracting((member) -> member.identity().incarnation())
			.containsExactly("e9-i1");
	}

	@Test
	void rowsOfDeadProcessesAreDeleted() {
		kill(join("e1"));
		join("e2");
		advance(MembershipFixture.SETTINGS.rowRetention().plus(POLL.multipliedBy(2)));
		assertThat(this.fixture.table.scan("member/").get().map((row) -> row.key())).containsExactly("member/entry/e2");
	}

	@Test
	void holderOfAFailureDomainIsTheLiveSchedulerWithTheRightIncarnation() {
		shard("bkk-a", "s1", "s1-i2", 7);
		shard("bkk-b", "s1", "s1-i1", 3);
		this.fixture.join(MembershipFixture.scheduler("s1", "s1-i2"), "10.0.0.3:7500");
		advance(POLL);
		Member scheduler = MembershipFixture.member(MembershipFixture.scheduler("s1", "s1-i2"), "10.0.0.3:7500");
		assertThat(this.directory.members().shardHolders())
			.containsExactly(new ShardHolderMember("bkk-a", 7, scheduler));
	}

	@Test
	void versionIsInForceWhenEveryLiveProcessHasConfirmedItAndDeadOnesAreNotAwaited() {
		this.fixture.summary = new ConfirmationSummary(5, 4, List.of());
		join("e1");
		MemberLease dies = join("e2");
		advance(Duration.ofSeconds(5));
		kill(dies);
		this.fixture.summary = new ConfirmationSummary(5, 5, List.of());
		advance(Duration.ofSeconds(5));
		assertThat(InForceStatus.of(5, confirmations()).inForce()).isFalse();
		advance(LEASE);
		assertThat(confirmations()).extracting(ProcessConfirmation::name).containsExactly("e1");
		assertThat(InForceStatus.of(5, confirmations()).inForce()).isTrue();
		this.fixture.table.faults().down(true);
		assertThat(this.directory.read().isLeft()).isTrue();
	}

	private List<ProcessConfirmation> confirmations() {
		return this.directory.read().get();
	}

	private MemberLease join(String name) {
		MemberLease lease = this.fixture.join(MembershipFixture.entry(name, name + "-i1"),
				"10.0.0." + name.substring(1) + ":7400");
		advance(Duration.ZERO);
		return lease;
	}

	private void kill(MemberLease lease) {
		boolean down = this.fixture.table.faults().isDown();
		this.fixture.table.faults().down(true);
		lease.stop();
		this.fixture.table.faults().down(down);
	}

	private void shard(String domain, String holder, String incarnation, long epoch) {
		ShardRecord shard = new ShardRecord(domain, holder, incarnation, epoch, 1, 0);
		this.fixture.table.commit(Transaction.empty().put("shard/" + domain, Json.write(shard)));
	}

	private void advance(Duration duration) {
		this.fixture.time.advance(duration);
	}

	private List<String> names() {
		return this.directory.members().entries().stream().map((member) -> member.identity().name()).toList();
	}

}
