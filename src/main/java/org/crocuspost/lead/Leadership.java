package org.crocuspost.lead;

import java.util.List;

import io.netty.channel.EventLoop;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Candidate for the leadership. Watches the leader's row and takes over when it has not
 * changed for a while although the store answers. Used on the event loop only.
 */
public final class Leadership {

	private final String name;

	private final RowStore store;

	private final RowWatch ledger;

	private final OperatorView operator;

	private final DispatchSettings settings;

	private final LeadMetrics metrics;

	private final EventLoop loop;

	private final Clock clock;

	private final Timer timer;

	private @Nullable Leader leader;

	private StoredRow row = new StoredRow(Tables.LEADER, StoredRow.ABSENT, "");

	private long unchangedSinceNanos;

	private boolean campaigning;

	private boolean resigned;

	/**
	 * Creates a candidate. It takes part from {@link #start()}.
	 * @param name the name of this process
	 * @param store the store
	 * @param ledger the watch of the ledger, whose changes are passed to
	 * {@link #rowSeen(StoredRow)}
	 * @param operator what the operator wants
	 * @param settings times of the decisions
	 * @param metrics metrics of the decisions
	 * @param loop the event loop of the process
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public Leadership(String name, RowStore store, RowWatch ledger, OperatorView operator, DispatchSettings settings,
			LeadMetrics metrics, EventLoop loop, Clock clock, Timer timer) {
		this.name = name;
		this.store = store;
		this.ledger = ledger;
		this.operator = operator;
		this.settings = settings;
		this.metrics = metrics;
		this.loop = loop;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Begins to watch for a vacancy.
	 */
	public void start() {
		this.unchangedSinceNanos = this.clock.nanoTime();
		this.timer.repeat(LeadTimes.TICK, this::tick);
	}

	/**
	 * Learns of the leader's row.
	 * @param seen the row
	 */
	public void rowSeen(StoredRow seen) {
		if (seen.version() > this.row.version()) {
			this.row = seen;
			this.unchangedSinceNanos = this.clock.nanoTime();
		}
	}

	private void tick() {
		if (this.leader != null || this.campaigning || this.resigned) {
			return;
		}
		if (!this.ledger.hasReadTable() || this.ledger.age().compareTo(LeadTimes.FRESH_VIEW) > 0) {
			// The store is silent, so the silence of the leader means nothing.
			this.unchangedSinceNanos = this.clock.nanoTime();
			return;
		}
		LeaderRecord holder = LeaderRecord.read(this.row.value());
		// A row with the name of this process is from a former life of it.
		boolean vacant = holder.vacant() || holder.name().equals(this.name);
		if (vacant || this.clock.nanoTime() - this.unchangedSinceNanos > LeadTimes.TAKEOVER.toNanos()) {
			campaign();
		}
	}

	private void campaign() {
		this.campaigning = true;
		StoredRow observed = this.row;
		LeaderRecord next = new LeaderRecord(LeaderRecord.read(observed.value()).epoch() + 1, 0, this.name);
		claim(observed, next);
	}

	private void claim(StoredRow observed, LeaderRecord next) {
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.LEDGER, Tables.LEADER, observed.version())),
				List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER, next.write())));
		this.store.commit(transaction, (answer) -> {
			if (answer.isLeft()) {
				boolean certainlyNotApplied = answer.getLeft().verdict().allowsAnotherAttempt();
				if (certainlyNotApplied) {
					this.campaigning = false;
				}
				else {
					this.timer.schedule(LeadTimes.RETRY_PAUSE, () -> claim(observed, next));
				}
				return;
			}
			RowCommit commit = answer.get();
			StoredRow current = commit.applied() ? new StoredRow(Tables.LEADER, commit.version(), next.write())
					: commit.current()
						.stream()
						.filter((candidate) -> candidate.key().equals(Tables.LEADER))
						.findFirst()
						.orElse(observed);
			this.campaigning = false;
			rowSeen(current);
			if (current.value().equals(next.write()) && !this.resigned) {
				won(next, current.version());
			}
		});
	}

	private void won(LeaderRecord record, long version) {
		this.metrics.leads(true);
		EventLog.info(LeadEvent.LEADERSHIP_WON, Field.of("epoch", record.epoch()), Field.of("version", version));
		this.leader = new Leader(this.store, record, version, this.operator, this.settings, this.metrics, this.loop,
				this.clock, this.timer, () -> lost(record));
	}

	private void lost(LeaderRecord record) {
		this.metrics.leads(false);
		EventLog.warn(LeadEvent.LEADERSHIP_LOST, Field.of("epoch", record.epoch()));
		if (this.leader != null) {
			this.leader.close();
			this.leader = null;
		}
		this.unchangedSinceNanos = this.clock.nanoTime();
	}

	/**
	 * Gives the leadership up if this process has it, and never campaigns again.
	 */
	public void resign() {
		this.resigned = true;
		if (this.leader != null) {
			Leader resigning = this.leader;
			resigning.resign(() -> {
				this.leader = null;
				this.metrics.leads(false);
			});
		}
	}

	/**
	 * Says whether this process leads.
	 * @return true if it does
	 */
	public boolean leads() {
		return this.leader != null;
	}

}
