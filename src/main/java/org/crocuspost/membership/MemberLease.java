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
 * Writes and renews the row that lists this entry or scheduler in the table. The row is
 * written at the start, renewed until the process stops and written soon after each
 * change of the confirmations.
 *
 * <p>
 * A process takes over the row of an older process with the same role and name
 * immediately, so that the process on a replaced host is found quickly. The older process
 * gets a conflict at its next renewal and never writes again, so two processes with the
 * same name cannot take the row from each other in turn. A process stores the incarnation
 * whose row it replaces: if the answer to its first write was lost, only the row of a
 * third process shows that this process was replaced itself.
 */
public final class MemberLease {

	private final MembershipSettings settings;

	private final TableService table;

	private final Clock clock;

	private final Timer timer;

	private final Supplier<ConfirmationSummary> confirmations;

	private MemberRecord record;

	private Optional<Long> rowVersion = Optional.empty();

	private Optional<String> replacedIncarnation = Optional.empty();

	private State state = State.JOINING;

	private boolean failing;

	private Stopwatch lastWrite;

	private Cancellable nextRenewal = () -> {
	};

	/**
	 * Creates the lease; {@link #start()} writes the row.
	 * @param initialRecord the record of this process, with renewal 0
	 * @param settings the intervals and the lease
	 * @param table the table service
	 * @param confirmations supplies the summary of the configuration versions that this
	 * process and its agents have confirmed
	 * @param clock the clock
	 * @param timer runs the renewals, which block
	 */
	public MemberLease(MemberRecord initialRecord, MembershipSettings settings, TableService table,
			Supplier<ConfirmationSummary> confirmations, Clock clock, Timer timer) {
		this.record = initialRecord;
		this.settings = settings;
		this.table = table;
		this.confirmations = confirmations;
		this.clock = clock;
		this.timer = timer;
		this.lastWrite = Stopwatch.start(clock);
	}

	/**
	 * Writes the row as soon as the store accepts it and renews it from then on.
	 */
	public synchronized void start() {
		scheduleNext(Duration.ZERO);
	}

	/**
	 * Schedules an early write of the row after a change of the confirmations. The write
	 * follows the previous one by at least
	 * {@link MembershipSettings#minimumWriteInterval()}. Does not block.
	 */
	public void confirmationsChanged() {
		this.timer.schedule(Duration.ZERO, this::scheduleEarlyRenewal);
	}

	private synchronized void scheduleEarlyRenewal() {
		if (this.state == State.HELD) {
			scheduleNext(this.settings.minimumWriteInterval().minus(this.lastWrite.observerElapsed()));
		}
	}

	/**
	 * Ends the renewals and marks the row as leaving. Blocks for no more than one write.
	 */
	public synchronized void stop() {
		this.nextRenewal.cancel();
		if (this.state == State.HELD) {
			write(true);
		}
		this.state = State.ENDED;
	}

	/**
	 * Returns whether the row has been written and not been taken over by another process
	 * since.
	 * @return true if this process is a member
	 */
	public synchronized boolean held() {
		return this.state == State.HELD;
	}

	/**
	 * Returns whether another process has taken over the row.
	 * @return true if this process must end
	 */
	public synchronized boolean superseded() {
		return this.state == State.SUPERSEDED;
	}

	private void scheduleNext(Duration delay) {
		this.nextRenewal.cancel();
		this.nextRenewal = this.timer.schedule(delay.isNegative() ? Duration.ZERO : delay, this::renew);
	}

	private synchronized void renew() {
		if (this.state == State.JOINING || this.state == State.HELD) {
			if (this.rowVersion.isEmpty()) {
				readVersion();
			}
			if (this.rowVersion.isPresent()) {
				write(false);
			}
			scheduleNext(this.rowVersion.isPresent() ? this.settings.renewalInterval()
					: this.settings.minimumWriteInterval());
		}
	}

	private void readVersion() {
		CurrentRow.read(this.table, this.record.key()).peek(this::observeRow).peekLeft(this::storeCallFailed);
	}

	private void observeRow(Row row) {
		// A malformed row is not by another process of this name, so it is replaced.
		String incarnation = row.exists()
				? MemberRecord.of(row).map((found) -> found.identity().incarnation()).getOrElse("") : "";
		if (this.replacedIncarnation.isEmpty()) {
			this.replacedIncarnation = Optional.of(incarnation);
		}
		if (incarnation.isEmpty() || incarnation.equals(this.replacedIncarnation.get())
				|| incarnation.equals(this.record.identity().incarnation())) {
			this.rowVersion = Optional.of(row.version());
			return;
		}
		this.state = State.SUPERSEDED;
		EventLog.warn(MembershipEvent.MEMBER_SUPERSEDED, Field.of("name", this.record.identity().name()));
	}

	private void write(boolean leaving) {
		MemberRecord renewed = this.record.renewed(leaving, this.confirmations.get());
		Transaction transaction = Transaction.empty()
			.require(renewed.key(), this.rowVersion.orElse(Row.ABSENT))
			.put(renewed.key(), renewed.value());
		this.rowVersion = Optional.empty();
		this.lastWrite = Stopwatch.start(this.clock);
		Either<Failure, CommitResult> result = this.table.commit(transaction);
		if (result.isLeft()) {
			storeCallFailed(result.getLeft());
		}
		else if (result.get() instanceof CommitResult.Committed committed) {
			writeSucceeded(renewed, committed.rows().head());
		}
	}

	private void writeSucceeded(MemberRecord written, Row row) {
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
		this.rowVersion = Optional.of(row.version());
	}

	private void storeCallFailed(Failure failure) {
		if (!this.failing) {
			this.failing = true;
			EventLog.warn(MembershipEvent.MEMBER_RENEWAL_FAILED, Field.of("reason", failure.message()));
		}
	}

	private enum State {

		JOINING, HELD, SUPERSEDED, ENDED

	}

}
