package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that each transaction of a leader is applied at most once, and that a former
 * leader cannot write.
 */
class FencedWriterTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final MemoryRowStore store = new MemoryRowStore();

	private int appliedTransactions;

	private int leadershipLosses;

	private int rejections;

	private FencedWriter writer;

	@BeforeEach
	void createFirstWriter() {
		this.writer = createWriter(1);
	}

	private FencedWriter createWriter(long epoch) {
		LeaderRecord record = new LeaderRecord(epoch, 0, "leader-" + epoch);
		this.store.commit(
				RowTransaction.of(List.of(),
						List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, record.write()))),
				(answer) -> {
				});
		return new FencedWriter(this.store, record, this.store.row(Tables.LEDGER, Tables.LEADER_KEY).version(),
				this.time, this.time, () -> this.leadershipLosses++);
	}

	private void write(String key) {
		this.writer.write("leader-1", List.of(new RowTransaction.Write(Tables.LEDGER, key, "value")), List.of(),
				() -> this.appliedTransactions++, (failure) -> this.rejections++);
	}

	@Test
	void refusedTransactionIsRetried() {
		this.store.setFault(Fault.REFUSED);
		write("key");
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.appliedTransactions).isZero();
		assertThat(this.writer.confirmed()).isFalse();
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.appliedTransactions).isEqualTo(1);
		assertThat(this.writer.confirmed()).isTrue();
	}

	/**
	 * A late copy of a rejected transaction must not be taken for the next transaction.
	 */
	@Test
	void rejectedTransactionIsNotRetried() {
		this.store.setFault(Fault.REJECTED);
		write("key");
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.rejections).isEqualTo(1);
		assertThat(this.writer.busy()).isFalse();
		this.store.setFault(Fault.NONE);
		write("other");
		assertThat(this.appliedTransactions).isEqualTo(1);
		LeaderRecord written = LeaderRecord.read(this.store.row(Tables.LEDGER, Tables.LEADER_KEY).value());
		assertThat(written.sequence()).isEqualTo(2);
	}

	@Test
	void rejectedRenewalIsRetried() {
		this.store.setFault(Fault.REJECTED);
		this.writer.writeLeaderRow("leader-1", () -> this.appliedTransactions++);
		this.time.advance(Duration.ofSeconds(1));
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.appliedTransactions).isEqualTo(1);
	}

	@Test
	void lostAnswerOfAppliedTransactionIsRecoveredFromLeaderRow() {
		this.store.setFault(Fault.ANSWER_LOST);
		write("key");
		long version = this.store.row(Tables.LEDGER, "key").version();
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.appliedTransactions).isEqualTo(1);
		assertThat(this.store.row(Tables.LEDGER, "key").version()).isEqualTo(version);
	}

	@Test
	void delayedTransactionIsAppliedOnce() {
		this.store.setFault(Fault.LATE);
		write("key");
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		long version = this.store.row(Tables.LEDGER, "key").version();
		this.store.applyHeld();
		assertThat(this.appliedTransactions).isEqualTo(1);
		assertThat(this.store.row(Tables.LEDGER, "key").version()).isEqualTo(version);
		write("other");
		assertThat(this.appliedTransactions).isEqualTo(2);
	}

	/**
	 * The monotonic clock of a suspended leader stands still. It must not go on extending
	 * leases as if it had been confirmed a moment ago.
	 */
	@Test
	void timeOfASuspensionCountsSinceTheLastConfirmation() {
		write("key");
		assertThat(this.writer.confirmationAge()).isZero();
		this.time.shiftWallClock(Duration.ofSeconds(20));
		assertThat(this.writer.confirmationAge()).isGreaterThan(LeadershipTimings.LEASE_EXTENSION_WITHOUT_STORE);
		write("other");
		assertThat(this.writer.confirmationAge()).isZero();
	}

	@Test
	void formerLeaderCannotWrite() {
		createWriter(2);
		write("key");
		assertThat(this.leadershipLosses).isEqualTo(1);
		assertThat(this.appliedTransactions).isZero();
		assertThat(this.store.row(Tables.LEDGER, "key").exists()).isFalse();
	}

}
