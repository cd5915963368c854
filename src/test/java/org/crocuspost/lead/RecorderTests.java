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
 * Each transaction of a leader is applied once or not at all, and a former leader writes
 * nothing.
 */
class RecorderTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final MemoryRowStore store = new MemoryRowStore();

	private int done;

	private int deposed;

	private Recorder recorder;

	@BeforeEach
	void becomeLeader() {
		this.recorder = recorder(1);
	}

	private Recorder recorder(long epoch) {
		LeaderRecord record = new LeaderRecord(epoch, 0, "leader-" + epoch);
		this.store.commit(RowTransaction.of(List.of(),
				List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, record.write()))), (answer) -> {
				});
		return new Recorder(this.store, record, this.store.row(Tables.LEDGER, Tables.LEADER_KEY).version(), this.time,
				this.time, () -> this.deposed++);
	}

	private void write(String key) {
		this.recorder.write("leader-1", List.of(new RowTransaction.Write(Tables.LEDGER, key, "value")), List.of(),
				() -> this.done++);
	}

	@Test
	void aRefusedTransactionIsTriedAgain() {
		this.store.setFault(Fault.REFUSED);
		write("key");
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.done).isZero();
		assertThat(this.recorder.confirmed()).isFalse();
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.done).isEqualTo(1);
		assertThat(this.recorder.confirmed()).isTrue();
	}

	@Test
	void aLostAnswerIsRecognizedByTheLeadersRow() {
		this.store.setFault(Fault.ANSWER_LOST);
		write("key");
		long version = this.store.row(Tables.LEDGER, "key").version();
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.done).isEqualTo(1);
		assertThat(this.store.row(Tables.LEDGER, "key").version()).isEqualTo(version);
	}

	@Test
	void aLateTransactionIsAppliedOnce() {
		this.store.setFault(Fault.LATE);
		write("key");
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		long version = this.store.row(Tables.LEDGER, "key").version();
		this.store.applyHeld();
		assertThat(this.done).isEqualTo(1);
		assertThat(this.store.row(Tables.LEDGER, "key").version()).isEqualTo(version);
		write("other");
		assertThat(this.done).isEqualTo(2);
	}

	@Test
	void aFormerLeaderWritesNothing() {
		recorder(2);
		write("key");
		assertThat(this.deposed).isEqualTo(1);
		assertThat(this.done).isZero();
		assertThat(this.store.row(Tables.LEDGER, "key").exists()).isFalse();
	}

}
