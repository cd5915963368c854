package org.crocuspost.release;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationListener;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.time.Clock;

/**
 * Accepts release notes.
 *
 * <p>
 * A note is accepted by one transaction with two conditions: the head row has the version
 * that was read, and the row of the note does not exist. Of two notes for the same
 * version, only one is accepted. If the answer to the transaction is lost, the same
 * transaction is sent again. The first one may still be in flight, but its conditions no
 * longer hold once the second has committed or failed with a conflict, so it cannot take
 * effect after that. Reading the note's row instead would not settle the outcome, because
 * a write that is still in flight becomes visible only after the read.
 */
public final class NoteAcceptance {

	private static final int COMMIT_ATTEMPTS = 3;

	private static final int MAXIMUM_LISTED_NOTES = 20;

	private final TableService table;

	private final SnapshotStore snapshots;

	private final ConfigurationHeadReader headReader;

	private final NoteHistory history;

	private final NoteRules rules;

	private final Clock clock;

	private final ConfigurationListener listener;

	/**
	 * Creates an instance.
	 * @param table the table service
	 * @param snapshots the store of snapshots and notes
	 * @param rules the rules that notes are checked against besides the configuration
	 * @param clock the clock for the time of acceptance
	 * @param listener receives each configuration that this process has accepted
	 */
	public NoteAcceptance(TableService table, SnapshotStore snapshots, NoteRules rules, Clock clock,
			ConfigurationListener listener) {
		this.table = table;
		this.snapshots = snapshots;
		this.headReader = new ConfigurationHeadReader(table);
		this.history = new NoteHistory(table);
		this.rules = rules;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Submits a note. Blocks during calls to the platform's stores.
	 * @param text the JSON text with comments
	 * @return the outcome
	 */
	public NoteOutcome submit(String text) {
		return NoteChecker.read(text).fold(NoteOutcome.Invalid::new, (note) -> submit(text, note));
	}

	private NoteOutcome submit(String text, ReleaseNote note) {
		Either<Failure, Option<NoteRecord>> earlier = this.history.find(note.id());
		if (earlier.isLeft()) {
			return new NoteOutcome.Refused(earlier.getLeft());
		}
		if (earlier.get().isDefined()) {
			return compareWithAccepted(note, earlier.get().get());
		}
		return readHeadFor(note).fold(NoteOutcome.Refused::new, (row) -> submit(text, note, row));
	}

	private static NoteOutcome compareWithAccepted(ReleaseNote note, NoteRecord accepted) {
		if (accepted.digest().equals(note.digest())) {
			return new NoteOutcome.Accepted(note.id(), accepted.version(), true);
		}
		return new NoteOutcome.Refused(ErrorCode.NOTE_ID_TAKEN.with(note.id(), accepted.version()));
	}

	// Confirms the head if a lagging replica may have served it.
	private Either<Failure, Row> readHeadFor(ReleaseNote note) {
		return this.headReader.read()
			.flatMap((row) -> (ConfigurationHead.of(row).version() == note.basedOn()) ? Either.right(row)
					: this.headReader.readConfirmed());
	}

	private NoteOutcome submit(String text, ReleaseNote note, Row headRow) {
		ConfigurationHead head = ConfigurationHead.of(headRow);
		if (head.version() != note.basedOn()) {
			return outdatedOutcome(note, head);
		}
		Either<Failure, Configuration> base = this.snapshots.load(head);
		if (base.isLeft()) {
			return new NoteOutcome.Refused(base.getLeft());
		}
		return NoteChecker.check(text, base.get(), this.rules)
			.fold(NoteOutcome.Invalid::new, (next) -> saveAndCommit(note, headRow, next));
	}

	private NoteOutcome saveAndCommit(ReleaseNote note, Row headRow, Configuration next) {
		return this.snapshots.save(note)
			.flatMap((digest) -> this.snapshots.save(next))
			.fold(NoteOutcome.Refused::new, (snapshot) -> commit(note, headRow, next, snapshot));
	}

	private NoteOutcome commit(ReleaseNote note, Row headRow, Configuration next, String snapshot) {
		Transaction transaction = transaction(note, headRow, next, snapshot);
		Either<Failure, CommitResult> result = this.table.commit(transaction);
		boolean mayBeCommitted = isUnknown(result);
		for (int attempt = 1; attempt < COMMIT_ATTEMPTS && mayBeCommitted && result.isLeft(); attempt++) {
			result = this.table.commit(transaction);
		}
		if (result.isLeft()) {
			return mayBeCommitted ? unknownOutcome(note, result.getLeft()) : new NoteOutcome.Refused(result.getLeft());
		}
		NoteOutcome outcome = (result.get() instanceof CommitResult.Conflict conflict) ? conflictOutcome(note, conflict)
				: new NoteOutcome.Accepted(note.id(), next.version(), false);
		if (outcome instanceof NoteOutcome.Accepted accepted && accepted.version() == next.version()) {
			this.listener.configurationChanged(next);
		}
		return outcome;
	}

	private static boolean isUnknown(Either<Failure, CommitResult> result) {
		return result.isLeft() && result.getLeft().code() == ErrorCode.STORE_UNKNOWN;
	}

	private static NoteOutcome unknownOutcome(ReleaseNote note, Failure failure) {
		return new NoteOutcome.Unknown(note.id(), ErrorCode.STORE_UNKNOWN.with(failure.message()),
				"submit the same note again once the store answers: it is accepted at most once, "
						+ "and the answer then says whether it was");
	}

	private Transaction transaction(ReleaseNote note, Row headRow, Configuration next, String snapshot) {
		String previousId = ConfigurationHead.of(headRow).noteId();
		NoteRecord noteRecord = new NoteRecord(note.id(), note.digest(), next.version(), snapshot, previousId,
				this.clock.instant(), note.description());
		Transaction transaction = Transaction.empty()
			.require(TableKeys.CONFIGURATION_HEAD, headRow.version())
			.require(TableKeys.note(note.id()), Row.ABSENT)
			.put(TableKeys.CONFIGURATION_HEAD, Json.write(new ConfigurationHead(next.version(), note.id(), snapshot)))
			.put(TableKeys.note(note.id()), Json.write(noteRecord));
		for (String domain : note.domains().out()) {
			transaction = transaction.put(TableKeys.domain(domain), Json.write(new DomainState(true, next.version())));
		}
		for (String domain : note.domains().back()) {
			transaction = transaction.put(TableKeys.domain(domain), Json.write(new DomainState(false, next.version())));
		}
		return transaction;
	}

	private NoteOutcome conflictOutcome(ReleaseNote note, CommitResult.Conflict conflict) {
		Option<NoteRecord> accepted = conflict.rows()
			.find((row) -> row.key().equals(TableKeys.note(note.id())))
			.flatMap(NoteHistory::decode);
		if (accepted.isDefined()) {
			return compareWithAccepted(note, accepted.get());
		}
		Row headRow = conflict.rows().head();
		return outdatedOutcome(note, ConfigurationHead.of(headRow));
	}

	private NoteOutcome outdatedOutcome(ReleaseNote note, ConfigurationHead head) {
		List<NoteRecord> newerNotes = this.history.since(head, note.basedOn(), MAXIMUM_LISTED_NOTES)
			.getOrElse(List.of());
		return new NoteOutcome.Outdated(note.basedOn(), head.version(),
				newerNotes.stream().map(NoteRecord::id).toList(), changesSince(note, head, newerNotes));
	}

	private List<ConfigurationDifference.Change> changesSince(ReleaseNote note, ConfigurationHead head,
			List<NoteRecord> newerNotes) {
		if (newerNotes.isEmpty() || newerNotes.get(newerNotes.size() - 1).version() != note.basedOn() + 1) {
			return List.of();
		}
		return snapshotBefore(newerNotes.get(newerNotes.size() - 1))
			.flatMap((earlier) -> this.snapshots.load(head)
				.map((later) -> ConfigurationDifference.between(earlier, later).changes()))
			.getOrElse(List.of());
	}

	private Either<Failure, Configuration> snapshotBefore(NoteRecord note) {
		if (note.previousId().isEmpty()) {
			return Either.right(Configuration.EMPTY);
		}
		return this.history.find(note.previousId())
			.flatMap((previous) -> previous.toEither(ErrorCode.NOT_FOUND.with("note " + note.previousId())))
			.flatMap((previous) -> this.snapshots.loadConfiguration(previous.snapshot()));
	}

}
