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
import org.crocuspost.distribution.ConfirmationReader;
import org.crocuspost.distribution.ProcessConfirmation;
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
 * Maintains the lists of live entries and schedulers and of the holders of failure
 * domains by polling the table.
 *
 * <p>
 * While the table cannot be read, the members of the last poll are kept: no process can
 * renew its row then, so a missing renewal does not show that a process has ended. After
 * an outage each process has the full duration of a lease to renew its row.
 */
public final class MemberDirectory implements ConfirmationReader {

	private final MembershipSettings settings;

	private final TableService table;

	private final Clock clock;

	private final Timer timer;

	private final Map<String, ObservedMember> observedMembers = new TreeMap<>();

	private final Map<String, ShardRecord> shards = new TreeMap<>();

	private final MalformedRows malformedRows = new MalformedRows();

	private final List<MembersListener> listeners = new CopyOnWriteArrayList<>();

	private volatile Members members = Members.NONE;

	private volatile Optional<Stopwatch> sinceLastRead = Optional.empty();

	private boolean failing;

	private Cancellable polling = () -> {
	};

	/**
	 * Creates the directory.
	 * @param settings the intervals and the lease
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
	 * @param listener receives each change of the members
	 */
	public void addListener(MembersListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Starts polling.
	 */
	public synchronized void start() {
		this.timer.schedule(Duration.ZERO, this::poll);
		this.polling = this.timer.repeat(this.settings.pollInterval(), this::poll);
	}

	/**
	 * Ends polling.
	 */
	public synchronized void stop() {
		this.polling.cancel();
	}

	/**
	 * Returns the live members. Does not block.
	 * @return the members at the last successful poll
	 */
	public Members members() {
		return this.members;
	}

	/**
	 * Returns the age of the members that {@link #members()} returns.
	 * @return the time since the last successful poll, or empty before the first
	 */
	public Optional<Duration> age() {
		return this.sinceLastRead.map(Stopwatch::observerElapsed);
	}

	/**
	 * Reads the table once and notifies the listeners if the members have changed.
	 * Blocks.
	 */
	public void poll() {
		Either<Failure, Seq<Row>> memberRows = this.table.scan(TableKeys.MEMBERS);
		Either<Failure, Seq<Row>> shardRows = this.table.scan(TableKeys.SHARDS);
		Optional<Members> changed = update(memberRows, shardRows);
		changed.ifPresent((updated) -> this.listeners.forEach((listener) -> listener.membersChanged(updated)));
	}

	private synchronized Optional<Members> update(Either<Failure, Seq<Row>> memberRows,
			Either<Failure, Seq<Row>> shardRows) {
		if (memberRows.isLeft() || shardRows.isLeft()) {
			this.failing = true;
			return Optional.empty();
		}
		if (this.failing) {
			this.failing = false;
			this.observedMembers.values().forEach(ObservedMember::restartLease);
		}
		this.sinceLastRead = Optional.of(Stopwatch.start(this.clock));
		memberRows.get().forEach(this::observe);
		shardRows.get().forEach(this::observeShard);
		deleteExpiredRows();
		Members before = this.members;
		this.members = currentMembers();
		logChanges(before, this.members);
		return this.members.equals(before) ? Optional.empty() : Optional.of(this.members);
	}

	private void observe(Row row) {
		ObservedMember known = this.observedMembers.get(row.key());
		if (known == null) {
			this.observedMembers.put(row.key(), new ObservedMember(row, this.clock, this.malformedRows));
		}
		else {
			known.observe(row);
		}
	}

	private void observeShard(Row row) {
		String domain = row.key().substring(TableKeys.SHARDS.length());
		ShardRecord.read(domain, row)
			.peekLeft((reason) -> this.malformedRows.log(row, reason))
			.peek((seen) -> this.shards.merge(domain, seen,
					(known, newer) -> (newer.renewal() >= known.renewal()) ? newer : known));
	}

	private void deleteExpiredRows() {
		List<String> expired = this.observedMembers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isExpired(this.settings))
			.map(Map.Entry::getKey)
			.toList();
		for (String key : expired) {
			long version = this.observedMembers.remove(key).version();
			this.table.commit(Transaction.empty().require(key, version).delete(key));
		}
	}

	private Members currentMembers() {
		List<Member> entries = liveMembers(PeerIdentity.Role.ENTRY).toList();
		List<Member> schedulers = liveMembers(PeerIdentity.Role.SCHEDULER).toList();
		List<ShardHolderMember> holders = new ArrayList<>();
		for (ShardRecord shard : this.shards.values()) {
			schedulers.stream()
				.filter((scheduler) -> shard.heldBy(scheduler.identity().name(), scheduler.identity().incarnation()))
				.forEach((scheduler) -> holders.add(new ShardHolderMember(shard.domain(), shard.epoch(), scheduler)));
		}
		return new Members(entries, schedulers, holders);
	}

	private Stream<Member> liveMembers(PeerIdentity.Role role) {
		return this.observedMembers.values()
			.stream()
			.filter((member) -> member.isLive(this.settings))
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

	private static void log(LogEvent event, Members included, Members excluded) {
		Stream.concat(included.entries().stream(), included.schedulers().stream())
			.filter((member) -> !excluded.entries().contains(member) && !excluded.schedulers().contains(member))
			.forEach((member) -> EventLog.info(event, Field.of("role", member.identity().role()),
					Field.of("name", member.identity().name()), Field.of("address", member.address())));
	}

	@Override
	public Either<Failure, List<ProcessConfirmation>> read() {
		poll();
		synchronized (this) {
			if (this.failing || this.sinceLastRead.isEmpty()) {
				return Either.left(ErrorCode.STORE_UNAVAILABLE.with("the members cannot be read"));
			}
			return Either.right(this.observedMembers.values()
				.stream()
				.filter((member) -> member.isLive(this.settings))
				.map((member) -> confirmation(member.record()))
				.toList());
		}
	}

	private static ProcessConfirmation confirmation(MemberRecord record) {
		return new ProcessConfirmation(MemberRecord.roleName(record.identity().role()), record.identity().name(),
				record.confirmations());
	}

}
