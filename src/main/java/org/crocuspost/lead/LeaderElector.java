package org.crocuspost.lead;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.hostlink.HostConnector;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Candidate in the leader election. Watches the leader's row and takes over when the row
 * has not changed for the takeover timeout although the store responds. Must be used on
 * the event loop only.
 */
public final class LeaderElector {

	/**
	 * Name of the leader if its row is malformed. No process has it.
	 */
	private static final String UNKNOWN_LEADER = "(unknown)";

	private final String name;

	private final Duration takeoverDelay;

	private final RowStore store;

	private final RowWatch ledgerWatch;

	private final OperatorView operator;

	private final DispatchSettings settings;

	private final LeaderMetrics metrics;

	private final TrafficCounters traffic;

	private final HostConnector connector;

	private final Clock clock;

	private final Timer timer;

	private final long processStartNanos;

	/**
	 * Whether this incarnation of the process may have written the leader's row. A row
	 * with its name is then not proof that an earlier incarnation was the leader.
	 */
	private boolean claimed;

	private long reportedEndEpoch;

	private @Nullable Leader leader;

	private StoredRow leaderRow = new StoredRow(Tables.LEADER_KEY, StoredRow.ABSENT, "");

	private LeaderRecord holder = LeaderRecord.NONE;

	private long unchangedSinceNanos;

	private Duration unchangedBeforeCampaign = Duration.ZERO;

	private boolean campaigning;

	private boolean resigned;

	/**
	 * Creates a candidate, which takes part in the election after {@link #start()}.
	 * @param name the name of this process
	 * @param capacity the capacity of the host of this process
	 * @param store the store
	 * @param ledgerWatch the watch of the ledger, whose changes are passed to
	 * {@link #leaderRowChanged(StoredRow)}
	 * @param operator the view of the operator's settings
	 * @param settings times and thresholds of the dispatcher's decisions
	 * @param metrics the metrics of leader election and of the decisions
	 * @param traffic counts the bytes of the process
	 * @param connector creates the connections to the agents of hosts
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 * @param processStartNanos the start of this process, in nanoseconds of its clock:
	 * earlier incarnations of it have ended before
	 */
	public LeaderElector(String name, CandidateCapacity capacity, RowStore store, RowWatch ledgerWatch,
			OperatorView operator, DispatchSettings settings, LeaderMetrics metrics, TrafficCounters traffic,
			HostConnector connector, Clock clock, Timer timer, long processStartNanos) {
		this.name = name;
		this.takeoverDelay = capacity.takeoverDelay();
		this.store = store;
		this.ledgerWatch = ledgerWatch;
		this.operator = operator;
		this.settings = settings;
		this.metrics = metrics;
		this.traffic = traffic;
		this.connector = connector;
		this.clock = clock;
		this.timer = timer;
		this.processStartNanos = processStartNanos;
	}

	/**
	 * Starts to watch the leader's row for a vacancy.
	 */
	public void start() {
		this.unchangedSinceNanos = this.clock.nanoTime();
		this.timer.repeat(LeadershipTimings.TICK_INTERVAL, this::tick);
	}

	/**
	 * Updates the view of the leader's row. Versions that are not newer are ignored.
	 * @param newRow the row as it was read, or the row that names the former leader
	 */
	public void leaderRowChanged(StoredRow newRow) {
		if (newRow.key().equals(Tables.FORMER_LEADER_KEY)) {
			handleFormerLeader(newRow);
			return;
		}
		if (newRow.version() > this.leaderRow.version()) {
			this.leaderRow = newRow;
			this.holder = holder(newRow);
			this.unchangedSinceNanos = this.clock.nanoTime();
		}
	}

	/**
	 * Decodes the leader's row. A row that another writer has overwritten stands for an
	 * unknown leader, so that it is replaced as if its leader did not respond. The epoch
	 * of the unknown leader is at most the version of the row, since each epoch began
	 * with a transaction.
	 * @param row the row
	 * @return the leader
	 */
	private LeaderRecord holder(StoredRow row) {
		try {
			if (row.exists() && row.value().isEmpty()) {
				throw new IllegalArgumentException("the leader's row is empty");
			}
			return LeaderRecord.read(row.value());
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
			return new LeaderRecord(Math.max(this.holder.epoch(), row.version()), 0, UNKNOWN_LEADER);
		}
	}

	/**
	 * Tells the present leader if its predecessor was an earlier incarnation of this
	 * process. Otherwise, that leader waits for extensions that the predecessor might
	 * still send.
	 * @param row the row that names the predecessor
	 */
	private void handleFormerLeader(StoredRow row) {
		try {
			FormerLeader former = FormerLeader.read(row.value());
			if (!this.claimed && former.name().equals(this.name) && former.epoch() > this.reportedEndEpoch) {
				this.reportedEndEpoch = former.epoch();
				recordEnd(former.epoch());
			}
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	private void recordEnd(long epoch) {
		long ageNanos = this.clock.nanoTime() - this.processStartNanos;
		EndedLeader ended = new EndedLeader(epoch, TimeUnit.NANOSECONDS.toMillis(ageNanos));
		this.store.commit(
				RowTransaction.of(List.of(),
						List.of(new RowTransaction.Write(Tables.INTAKE, Tables.ENDED_LEADER_KEY, ended.write()))),
				(answer) -> {
					if (answer.isRight()) {
						EventLog.info(LeadEvent.END_RECORDED, Field.of("epoch", epoch),
								Field.of("ageMillis", ended.ageMillis()));
					}
					else if (answer.getLeft().code() != ErrorCode.STORE_REJECTED && epoch == this.reportedEndEpoch) {
						this.timer.schedule(LeadershipTimings.RETRY_DELAY, () -> recordEnd(epoch));
					}
				});
	}

	private void tick() {
		if (this.leader != null || this.campaigning || this.resigned) {
			return;
		}
		if (!this.ledgerWatch.hasReadTable()
				|| this.ledgerWatch.age().compareTo(LeadershipTimings.MAXIMUM_LEDGER_VIEW_AGE) > 0) {
			// The store does not respond, so an unchanged row does not mean that the
			// leader has failed.
			this.unchangedSinceNanos = this.clock.nanoTime();
			return;
		}
		// A row with the name of this process is from an earlier incarnation of it.
		Duration wait = this.holder.vacant() ? this.takeoverDelay
				: LeadershipTimings.TAKEOVER_TIMEOUT.plus(this.takeoverDelay);
		if (this.holder.name().equals(this.name)
				|| this.clock.nanoTime() - this.unchangedSinceNanos >= wait.toNanos()) {
			campaign();
		}
	}

	private void campaign() {
		this.campaigning = true;
		this.unchangedBeforeCampaign = Duration.ofNanos(this.clock.nanoTime() - this.unchangedSinceNanos);
		LeaderRecord predecessor = this.holder;
		boolean restarted = !this.claimed && predecessor.name().equals(this.name);
		LeaderRecord next = new LeaderRecord(predecessor.epoch() + 1, 0, this.name,
				predecessor.deadlines().map(ExtensionDeadlines::succeeded));
		claim(new Claim(this.leaderRow, predecessor,
				restarted ? OptionalLong.of(this.processStartNanos) : OptionalLong.empty(), next));
	}

	private void claim(Claim claim) {
		StoredRow observed = claim.observed();
		LeaderRecord next = claim.next();
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.LEDGER, Tables.LEADER_KEY, observed.version())),
				List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, next.write())));
		ClockReading sent = ClockReading.of(this.clock);
		this.store.commit(transaction, (answer) -> {
			if (answer.isLeft()) {
				boolean certainlyNotApplied = answer.getLeft().verdict().allowsAnotherAttempt();
				if (certainlyNotApplied) {
					this.campaigning = false;
				}
				else {
					this.claimed = true;
					this.timer.schedule(LeadershipTimings.RETRY_DELAY, () -> claim(claim));
				}
				return;
			}
			RowCommit commit = answer.get();
			StoredRow current = commit.applied() ? new StoredRow(Tables.LEADER_KEY, commit.version(), next.write())
					: commit.current()
						.stream()
						.filter((candidate) -> candidate.key().equals(Tables.LEADER_KEY))
						.findFirst()
						.orElse(observed);
			this.campaigning = false;
			this.claimed |= current.value().equals(next.write());
			leaderRowChanged(current);
			if (current.value().equals(next.write()) && !this.resigned) {
				becomeLeader(claim, current.version(), StoreClockReading.of(commit, sent, this.clock));
			}
		});
	}

	private void becomeLeader(Claim claim, long version, Optional<StoreClockReading> storeClock) {
		LeaderRecord record = claim.next();
		FormerExtensions former = FormerExtensions.of(claim.predecessor(), storeClock, this.clock.nanoTime(),
				claim.restartNanos());
		this.metrics.setLeader(true);
		EventLog.info(LeadEvent.LEADERSHIP_WON, Field.of("epoch", record.epoch()), Field.of("version", version),
				Field.of("former", claim.predecessor().name()),
				Field.of("rowUnchangedMillis", this.unchangedBeforeCampaign.toMillis()),
				Field.of("ledgerAgeMillis", this.ledgerWatch.age().toMillis()),
				Field.of("formerExtensionsEndInMillis",
						Duration.ofNanos(former.endNanos() - this.clock.nanoTime()).toMillis()),
				Field.of("basis", former.basis()));
		this.leader = new Leader(this.store, record, version,
				new FormerLeader(claim.predecessor().epoch(), claim.predecessor().name()), storeClock, former,
				this.operator, this.settings, this.metrics, this.traffic, this.connector, this.clock, this.timer,
				() -> handleLeadershipLost(record));
	}

	private void handleLeadershipLost(LeaderRecord record) {
		this.metrics.setLeader(false);
		EventLog.warn(LeadEvent.LEADERSHIP_LOST, Field.of("epoch", record.epoch()));
		if (this.leader != null) {
			this.leader.close();
			this.leader = null;
		}
		this.unchangedSinceNanos = this.clock.nanoTime();
	}

	/**
	 * Resigns if this process is the leader, and never campaigns again.
	 */
	public void resign() {
		this.resigned = true;
		if (this.leader != null) {
			Leader resigning = this.leader;
			resigning.resign(() -> {
				this.leader = null;
				this.metrics.setLeader(false);
			});
		}
	}

	/**
	 * Returns whether this process is the leader.
	 * @return true if this process is the leader
	 */
	public boolean isLeader() {
		return this.leader != null;
	}

	/**
	 * An attempt to become the leader.
	 *
	 * @param observed the leader's row that is to be replaced
	 * @param predecessor the content of that row
	 * @param restartNanos if the predecessor was an earlier incarnation of this process,
	 * the start of this one, in nanoseconds of the process clock
	 * @param next the new content of the row
	 */
	private record Claim(StoredRow observed, LeaderRecord predecessor, OptionalLong restartNanos, LeaderRecord next) {
	}

}
