package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a candidate takes over the leadership.
 */
class LeaderElectorTests {

	private static final String NAME = "entry-1";

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final MemoryRowStore store = new MemoryRowStore();

	private final EventLoop loop = new DefaultEventLoop();

	private LeaderElector elector;

	private void startCandidate() {
		startCandidate(CandidateCapacity.AMPLE);
	}

	private void startCandidate(CandidateCapacity capacity) {
		RowWatch ledgerWatch = new RowWatch(this.store, Tables.LEDGER, TableWatchSettings.LEDGER_WATCH,
				new RowWatchListener() {

					@Override
					public void tableRead(List<StoredRow> rows) {
						rowsChanged(rows);
					}

					@Override
					public void rowsChanged(List<StoredRow> rows) {
						rows.forEach(LeaderElectorTests.this.elector::leaderRowChanged);
					}

				}, this.time, this.time);
		this.elector = new LeaderElector(NAME, capacity, this.store, ledgerWatch, new EmptyOperatorView(),
				new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(2), 1.5),
				new LeaderMetrics(new PrometheusRegistry()), new TrafficCounters(new PrometheusRegistry()), this.loop,
				this.time, this.time);
		ledgerWatch.start();
		this.elector.start();
	}

	private void writeLeaderRow(LeaderRecord record) {
		this.store.commit(
				RowTransaction.of(List.of(),
						List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, record.write()))),
				(answer) -> {
				});
	}

	private long storedEpoch() {
		return LeaderRecord.read(this.store.row(Tables.LEDGER, Tables.LEADER_KEY).value()).epoch();
	}

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
	}

	@Test
	void vacantLeadershipIsTakenOverImmediately() {
		writeLeaderRow(new LeaderRecord(4, 7, ""));
		startCandidate();
		this.time.advance(Duration.ofMillis(300));
		assertThat(this.elector.isLeader()).isTrue();
		assertThat(storedEpoch()).isEqualTo(5);
	}

	@Test
	void rowOfEarlierIncarnationOfSameProcessIsTakenOverImmediately() {
		writeLeaderRow(new LeaderRecord(4, 7, NAME));
		startCandidate();
		this.time.advance(Duration.ofMillis(300));
		assertThat(this.elector.isLeader()).isTrue();
		assertThat(storedEpoch()).isEqualTo(5);
	}

	@Test
	void unresponsiveLeaderIsReplacedOnlyAfterTakeoverTimeout() {
		writeLeaderRow(new LeaderRecord(4, 7, "entry-2"));
		startCandidate();
		this.time.advance(LeadershipTimings.TAKEOVER_TIMEOUT.minusMillis(100));
		assertThat(this.elector.isLeader()).isFalse();
		this.time.advance(Duration.ofMillis(400));
		assertThat(this.elector.isLeader()).isTrue();
	}

	/**
	 * A weak host must leave the leadership to a strong one, and take it if there is
	 * none.
	 */
	@Test
	void candidateOnAWeakHostWaitsForStrongerOnes() {
		writeLeaderRow(new LeaderRecord(4, 7, ""));
		startCandidate(new CandidateCapacity(0.2, 7));
		this.time.advance(Duration.ofMillis(300));
		assertThat(this.elector.isLeader()).isFalse();
		this.time.advance(Duration.ofMillis(300));
		assertThat(this.elector.isLeader()).isTrue();
	}

	private static final class EmptyOperatorView implements OperatorView {

		@Override
		public Optional<QueueConfiguration> configuration() {
			return Optional.empty();
		}

		@Override
		public Set<String> evacuatedDomains() {
			return Set.of();
		}

		@Override
		public Duration age() {
			return Duration.ZERO;
		}

	}

}
