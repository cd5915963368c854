package org.crocuspost.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.distribution.ProcessConfirmation;
import org.crocuspost.distribution.ConfirmationReader;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.log.LogEvent;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.shard.ShardRecord;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.time.Timer;

/**
 * Knows the live entries and schedulers and the holders of failure domains, by polling
 * the table.
 *
 * <p>
 * While the table cannot be read, the last view stays: no process can renew its row then,
 * so their silence says nothing. After an outage each process has a whole lease to show
 * that it is live.
 */
public final class MemberDirectory implements ConfirmationReader {

	private final MembershipSettings settings;

	private final TableService table;

	private final Clock clock;

	private final Timer timer;

	private final Map<String, ObservedMember> observed = new TreeMap<>();

	private final Map<String, ShardRecord> shards = new TreeMap<>();

	private final List<MembersListener> listeners = new CopyOnWriteArrayList<>();

	private volatile Members members = Members.NONE;

	private volatile Optional<Stopwatch> sinceRead = Optional.empty();

	private boolean failing;

	private Cancellable polling = () -> {
	};

	/**
	 * Creates the directory.
	 * @param settings the times
	 * @param table the table service
	 * @param clock the clock
	 * @param timer runs the polls, which block
	 */
	public MemberDirectory(MembershipSettings settings, TableService table, Clock clock, Timer timer) {
		this.settings = settings;
		this.table = table;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Adds a listener.
	 * @param listener is told of each change
	 */
	public void addListener(MembersListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Starts polling.
	 */
	public synchronized void start() {
		this.timer.schedule(Duration.ZERO, this::poll);
		this.polling = this.timer.repeat(this.settings.poll(), this::poll);
	}

	/**
	 * Ends polling.
	 */
	public synchronized void stop() {
		this.polling.cancel();
	}

	/**
	 * Returns who is live. Does not block.
	 * @return the view of the last poll
	 */
	public Members members() {
		return this.members;
	}

	/**
	 * Returns how old the view is.
	 * @return the time since the last successful poll, or empty before the first
	 */
	public Optional<Duration> age() {
		return this.sinceRead.map(Stopwatch::observerElapsed);
	}

	/**
	 * Reads the table once. Blocks.
	 */
	public void poll() {
		Either<Failure, Seq<Row>> memberRows = this.table.scan(TableKeys.MEMBERS);
		Either<Failure, Seq<Row>> shardRows = this.table.scan(TableKeys.SHARDS);
		Optional<Members> changed = update(memberRows, shardRows);
		changed.ifPresent((now) -> this.listeners.forEach((listener) -> listener.membersChanged(now)));
	}

	private synchronized Optional<Members> update(Either<Failure, Seq<Row>> memberRows,
			Either<Failure, Seq<Row>> shardRows) {
		if (memberRows.isLeft() || shardRows.isLeft()) {
			this.failing = true;
			return Optional.empty();
		}
		if (this.failing) {
			this.failing = false;
			this.observed.values().forEach(ObservedMember::grantGrace);
		}
		this.sinceRead = Optional.of(Stopwatch.start(this.clock));
		memberRows.get().forEach(this::observe);
		shardRows.get().forEach(this::observeShard);
		forgetOld();
		Members before = this.members;
		this.members = view();
		logChanges(before, this.members);
		return this.members.equals(before) ? Optional.empty() : Optional.of(this.members);
	}

	private void observe(Row row) {
		ObservedMember known = this.observed.get(row.key());
		if (known == null) {
			this.observed.put(row.key(), new ObservedMember(row, this.clock));
		}
		else {
			known.observe(row);
		}
	}

	private void observeShard(Row row) {
		String domain = row.key().substring(TableKeys.SHARDS.length());
		ShardRecord seen = ShardRecord.from(domain, row);
		this.shards.merge(domain, seen, (known, newer) -> (newer.renewal() >= known.renewal()) ? newer : known);
	}

	private void forgetOld() {
		List<String> old = this.observed.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().forgettable(this.settings))
			.map(Map.Entry::getKey)
			.toList();
		for (String key : old) {
			long version = this.observed.remove(key).version();
			this.table.commit(Transaction.empty().require(key, version).delete(key));
		}
	}

	private Members view() {
		List<Member> entries = live(PeerIdentity.Role.ENTRY).toList();
		List<Member> schedulers = live(PeerIdentity.Role.SCHEDULER).toList();
		List<ShardHolderMember> holders = new ArrayList<>();
		for (ShardRecord shard : this.shards.values()) {
			schedulers.stream()
				.filter((scheduler) -> shard.heldBy(scheduler.identity().name(), scheduler.identity().incarnation()))
				.forEach((scheduler) -> holders.add(new ShardHolderMember(shard.domain(), shard.epoch(), scheduler)));
		}
		return new Members(entries, schedulers, holders);
	}

	private Stream<Member> live(PeerIdentity.Role role) {
		return this.observed.values()
			.stream()
			.filter((member) -> member.live(this.settings))
			.map(ObservedMember::record)
			.filter((record) -> record.identity().role() == role)
			.flatMap((record) -> Addresses.parse(record.address())
				.map((address) -> new Member(record.identity(), address))
				.stream());
	}

	private static void logChanges(Members before, Members after) {
		log(MembershipEvent.MEMBER_APPEARED, after, before);
		log(MembershipEvent.MEMBER_DISAPPEARED, before, after);
	}

	private static void log(LogEvent event, Members these, Members butNotThese) {
		Stream.concat(these.entries().stream(), these.schedulers().stream())
			.filter((member) -> !butNotThese.entries().contains(member) && !butNotThese.schedulers().contains(member))
			.forEach((member) -> EventLog.info(event, Field.of("role", member.identity().role()),
					Field.of("name", member.identity().name()), Field.of("address", member.address())));
	}

	@Override
	public Either<Failure, List<ProcessConfirmation>> read() {
		poll();
		synchronized (this) {
			if (this.failing || this.sinceRead.isEmpty()) {
				return Either.left(ErrorCode.STORE_UNAVAILABLE.with("the members cannot be read"));
			}
			return Either.right(this.observed.values()
				.stream()
				.filter((member) -> member.live(this.settings))
				.map((member) -> confirmation(member.record()))
				.toList());
		}
	}

	private static ProcessConfirmation confirmation(MemberRecord record) {
		return new ProcessConfirmation(MemberRecord.roleName(record.identity().role()), record.identity().name(),
				record.confirmations());
	}

}
