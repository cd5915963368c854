package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.hostlink.HostLink;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.log.RecentEvents;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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
				new LeaderMetrics(new PrometheusRegistry()), new TrafficCounters(new PrometheusRegistry()),
				HostLink.connector(new TrafficCounters(new PrometheusRegistry()), this.loop, this.time, this.time),
				this.time, this.time, this.time.nanoTime());
		ledgerWatch.start();
		this.elector.start();
	}

	private void writeLeaderRow(LeaderRecord record) {
		writeLeaderRow(record.write());
	}

	private void writeLeaderRow(String value) {
		this.store.commit(RowTransaction.of(List.of(),
				List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, value))), (answer) -> {
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
	 * Guards against a takeover of which the log does not tell how long nobody led.
	 */
	@Test
	void takeoverIsLoggedWithTheTimeWithoutAChangeOfTheFormerLeadersRow() {
		writeLeaderRow(new LeaderRecord(70_000, 7, "entry-2"));
		startCandidate();
		this.time.advance(LeadershipTimings.TAKEOVER_TIMEOUT.plusMillis(400));
		Map<String, String> line = RecentEvents.after(0)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> "leadership-won".equals(fields.get("event")) && "70001".equals(fields.get("epoch")))
			.findFirst()
			.orElseThrow();
		assertThat(line).containsEntry("former", "entry-2").containsKey("ledgerAgeMillis");
		assertThat(Duration.ofMillis(Long.parseLong(line.get("rowUnchangedMillis"))))
			.isBetween(LeadershipTimings.TAKEOVER_TIMEOUT, LeadershipTimings.TAKEOVER_TIMEOUT.plusMillis(400));
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

	/**
	 * Guards against a row by another writer after which no process becomes the leader
	 * any more, or after which a leader has an epoch that agents have seen already and
	 * refuse.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "x", "5 0", "a 0 entry-2", "99999999999999999999 0 entry-2",
			"9223372036854775807 0 entry-2", "9223372036854775806 0 entry-2", "-1 0 entry-2", "1e400 0 entry-2",
			"5 x entry-2", StoredRow.UNREADABLE })
	void malformedRowOfTheLeaderIsReplacedAfterTheTakeoverTimeout(String value) {
		for (int number = 1; number < 8; number++) {
			writeLeaderRow(new LeaderRecord(number, 7, "entry-2"));
		}
		writeLeaderRow(value);
		startCandidate();
		this.time.advance(LeadershipTimings.TAKEOVER_TIMEOUT.minusMillis(100));
		assertThat(this.elector.isLeader()).isFalse();
		this.time.advance(Duration.ofMillis(400));
		assertThat(this.elector.isLeader()).isTrue();
		assertThat(storedEpoch()).isGreaterThan(7);
	}

	/**
	 * An elected leader whose row was overwritten must not go on, and its successor needs
	 * a newer epoch.
	 */
	@Test
	void leaderWhoseRowBecomesMalformedIsElectedAgainWithANewerEpoch() {
		writeLeaderRow(new LeaderRecord(1_000, 7, ""));
		startCandidate();
		this.time.advance(Duration.ofMillis(300));
		assertThat(storedEpoch()).isEqualTo(1_001);
		writeLeaderRow("x");
		this.time.advance(LeadershipTimings.TAKEOVER_TIMEOUT.multipliedBy(2));
		assertThat(this.elector.isLeader()).isTrue();
		assertThat(storedEpoch()).isGreaterThan(1_001);
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
