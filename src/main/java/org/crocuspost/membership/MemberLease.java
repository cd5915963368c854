package org.crocuspost.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.store.CurrentRow;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.time.Timer;

/**
 * The own row of an entry or a scheduler: written at the start, renewed until the end and
 * written at once when the confirmations change.
 *
 * <p>
 * A process takes the row of an earlier process with the same role and name at once,
 * since a replaced host must be found quickly. The earlier one meets a conflict at its
 * next renewal and never writes again, so two processes with one name cannot take the row
 * from each other in turn. A process remembers whose row it replaces: after a first write
 * whose answer was lost, only the row of a third process means that it was replaced
 * itself.
 */
public final class MemberLease {

	private final MembershipSettings settings;

	private final TableService table;

	private final Clock clock;

	private final Timer timer;

	private final Supplier<ConfirmationSummary> confirmations;

	private MemberRecord record;

	private Optional<Long> version = Optional.empty();

	private Optional<String> predecessor = Optional.empty();

	private State state = State.JOINING;

	private boolean failing;

	private Stopwatch lastWrite;

	private Cancellable next = () -> {
	};

	/**
	 * Creates the lease; nothing is written yet.
	 * @param first the record of this process, with renewal 0
	 * @param settings the times
	 * @param table the table service
	 * @param confirmations gives what this process knows of the configuration in force
	 * @param clock the clock
	 * @param timer runs the renewals, which block
	 */
	public MemberLease(MemberRecord first, MembershipSettings settings, TableService table,
			Supplier<ConfirmationSummary> confirmations, Clock clock, Timer timer) {
		this.record = first;
		this.settings = settings;
		this.table = table;
		this.confirmations = confirmations;
		this.clock = clock;
		this.timer = timer;
		this.lastWrite = Stopwatch.start(clock);
	}

	/**
	 * Writes the row as soon as the store takes it and renews it from then on.
	 */
	public synchronized void start() {
		scheduleNext(Duration.ZERO);
	}

	/**
	 * Writes the row soon, because the confirmations have changed. Does not block.
	 */
	public void confirmationsChanged() {
		this.timer.schedule(Duration.ZERO, this::renewSoon);
	}

	private synchronized void renewSoon() {
		if (this.state == State.HELD) {
			scheduleNext(this.settings.minimumWriteInterval().minus(this.lastWrite.observerElapsed()));
		}
	}

	/**
	 * Ends the renewals and marks the row as leaving. Blocks for one write at most.
	 */
	public synchronized void stop() {
		this.next.cancel();
		if (this.state == State.HELD) {
			write(true);
		}
		this.state = State.ENDED;
	}

	/**
	 * Says whether the row has been written and not taken by another process since.
	 * @return true if this process is a member
	 */
	public synchronized boolean held() {
		return this.state == State.HELD;
	}

	/**
	 * Says whether another process has taken the row.
	 * @return true if this process must end
	 */
	public synchronized boolean superseded() {
		return this.state == State.SUPERSEDED;
	}

	private void scheduleNext(Duration delay) {
		this.next.cancel();
		this.next = this.timer.schedule(delay.isNegative() ? Duration.ZERO : delay, this::renew);
	}

	private synchronized void renew() {
		if (this.state == State.JOINING || this.state == State.HELD) {
			if (this.version.isEmpty()) {
				readVersion();
			}
			if (this.version.isPresent()) {
				write(false);
			}
			scheduleNext(this.version.isPresent() ? this.settings.renewal() : this.settings.minimumWriteInterval());
		}
	}

	private void readVersion() {
		CurrentRow.read(this.table, this.record.key()).peek(this::observe).peekLeft(this::failed);
	}

	private void observe(Row row) {
		String incarnation = row.exists() ? MemberRecord.of(row).identity().incarnation() : "";
		if (this.predecessor.isEmpty()) {
			this.predecessor = Optional.of(incarnation);
		}
		if (incarnation.isEmpty() || incarnation.equals(this.predecessor.get())
				|| incarnation.equals(this.record.identity().incarnation())) {
			this.version = Optional.of(row.version());
			return;
		}
		this.state = State.SUPERSEDED;
		EventLog.warn(MembershipEvent.MEMBER_SUPERSEDED, Field.of("name", this.record.identity().name()));
	}

	private void write(boolean leaving) {
		MemberRecord renewed = this.record.renewed(leaving, this.confirmations.get());
		Transaction transaction = Transaction.empty()
			.require(renewed.key(), this.version.orElse(Row.ABSENT))
			.put(renewed.key(), renewed.value());
		this.version = Optional.empty();
		this.lastWrite = Stopwatch.start(this.clock);
		Either<Failure, CommitResult> result = this.table.commit(transaction);
		if (result.isLeft()) {
			failed(result.getLeft());
		}
		else if (result.get() instanceof CommitResult.Committed committed) {
			succeeded(renewed, committed.rows().head());
		}
	}

	private void succeeded(MemberRecord written, Row row) {
		if (this.state == State.JOINING) {
			this.state = State.HELD;
			EventLog.info(MembershipEvent.MEMBER_JOINED, Field.of("name", written.identity().name()),
					Field.of("address", written.address()));
		}
		if (this.failing) {
			this.failing = false;
			EventLog.info(MembershipEvent.MEMBER_RENEWAL_RECOVERED);
		}
		this.record = written;
		this.version = Optional.of(row.version());
	}

	private void failed(Failure failure) {
		if (!this.failing) {
			this.failing = true;
			EventLog.warn(MembershipEvent.MEMBER_RENEWAL_FAILED, Field.of("reason", failure.message()));
		}
	}

	private enum State {

		JOINING, HELD, SUPERSEDED, ENDED

	}

}
