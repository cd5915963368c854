package org.crocuspost.ingress;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;

/**
 * A row of a caller's request that is to be written to the intake.
 */
final class PendingWrite {

	private final String key;

	private final String value;

	private final OptionalLong requiredVersion;

	private final long queuedNanos;

	private final long dueNanos;

	private final Consumer<Either<Failure, StoredRow>> outcome;

	private int copies;

	private int unresolvedCopies;

	private boolean abandoned;

	private boolean ended;

	/**
	 * Creates a write.
	 * @param key the key of the row
	 * @param value the value to write
	 * @param requiredVersion the version that the row must have, {@link StoredRow#ABSENT}
	 * if it must not exist; empty if the row is written whatever its version is
	 * @param queuedNanos when the write was requested, in monotonic time
	 * @param dueNanos when the caller is answered at the latest, in monotonic time
	 * @param outcome receives the row as it is stored, or the failure
	 */
	PendingWrite(String key, String value, OptionalLong requiredVersion, long queuedNanos, long dueNanos,
			Consumer<Either<Failure, StoredRow>> outcome) {
		this.key = key;
		this.value = value;
		this.requiredVersion = requiredVersion;
		this.queuedNanos = queuedNanos;
		this.dueNanos = dueNanos;
		this.outcome = outcome;
	}

	String key() {
		return this.key;
	}

	OptionalLong requiredVersion() {
		return this.requiredVersion;
	}

	/**
	 * Returns whether a row that was read shows the outcome of this write. A row that the
	 * write must replace does not: the mark of a rejected job remains until the write is
	 * executed.
	 * @param row the row
	 * @return true if this write or another one has changed the row since the required
	 * version
	 */
	boolean settledBy(StoredRow row) {
		return row.exists() && row.version() > this.requiredVersion.orElse(StoredRow.ABSENT);
	}

	/**
	 * Returns whether a row does not have the required version.
	 * @param row the row at the time when the condition was checked
	 * @return true if no copy of this write can be executed any more
	 */
	boolean conditionFails(StoredRow row) {
		return this.requiredVersion.isPresent() && this.requiredVersion.getAsLong() != row.version();
	}

	RowTransaction.Write row() {
		return new RowTransaction.Write(Tables.SUBMISSIONS, this.key, this.value);
	}

	StoredRow written(long version) {
		return new StoredRow(this.key, version, this.value);
	}

	int length() {
		return this.key.length() + this.value.length();
	}

	Duration waited(long nanos) {
		return Duration.ofNanos(nanos - this.queuedNanos);
	}

	Duration remaining(long nanos) {
		return Duration.ofNanos(this.dueNanos - nanos);
	}

	int copies() {
		return this.copies;
	}

	int unresolvedCopies() {
		return this.unresolvedCopies;
	}

	/**
	 * Returns whether the store may hold or still execute a copy whose outcome is not
	 * known.
	 * @return true if one was sent and its outcome is not known
	 */
	boolean mayTakeEffect() {
		return this.unresolvedCopies > 0;
	}

	/**
	 * Returns whether the outcome is still of use.
	 * @return false once the write has ended or its caller was answered
	 */
	boolean open() {
		return !this.ended && !this.abandoned;
	}

	void copySent() {
		this.copies++;
		this.unresolvedCopies++;
	}

	void copyRefused() {
		this.unresolvedCopies--;
	}

	/**
	 * Stops the attempts to learn the outcome, since the caller is answered now. An
	 * answer to a transaction that is in flight is still passed on.
	 * @return whether the row may have been written or may still be written
	 */
	Verdict abandon() {
		this.abandoned = true;
		EventLog.info(IngressEvent.WRITE_ABANDONED, Field.of("key", this.key), Field.of("copies", this.copies),
				Field.of("unresolved", this.unresolvedCopies));
		return mayTakeEffect() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
	}

	void store(StoredRow row) {
		end(Either.right(row));
	}

	/**
	 * Ends the write without effect. Must not be called while a copy may take effect.
	 * @param failure the failure
	 */
	void fail(Failure failure) {
		end(Either.left(failure));
	}

	private void end(Either<Failure, StoredRow> result) {
		// Several copies and reads may return the outcome of one write.
		if (!this.ended) {
			this.ended = true;
			this.outcome.accept(result);
		}
	}

}
