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
 * version one wins. If the answer to the transaction is lost, the same transaction is
 * sent again: while the first may still take effect later, its conditions no longer hold
 * once the second has been decided either way. Reading the note's row instead would not
 * decide it, because a write that is still under way shows up after the read.
 */
public final class NoteAcceptance {

	private static final int COMMIT_ATTEMPTS = 3;

	private static final int MAXIMUM_NOTES_NAMED = 20;

	private final TableService table;

	private final SnapshotStore snapshots;

	private final ConfigurationHeadReader heads;

	private final NoteHistory history;

	private final NoteRules rules;

	private final Clock clock;

	private final ConfigurationListener accepted;

	/**
	 * Creates the acceptance.
	 * @param table the table service
	 * @param snapshots keeps snapshots and notes
	 * @param rules what notes are checked against besides the configuration
	 * @param clock gives the time of acceptance
	 * @param accepted is told of each configuration that this process has accepted
	 */
	public NoteAcceptance(TableService table, SnapshotStore snapshots, NoteRules rules, Clock clock,
			ConfigurationListener accepted) {
		this.table = table;
		this.snapshots = snapshots;
		this.heads = new ConfigurationHeadReader(table);
		this.history = new NoteHistory(table);
		this.rules = rules;
		this.clock = clock;
		this.accepted = accepted;
	}

	/**
	 * Submits a note. Blocks while the platform's store is asked.
	 * @param text the JSON text with comments
	 * @return what became of the note
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

	// Has the head confirmed if a lagging replica may have served it.
	private Either<Failure, Row> readHeadFor(ReleaseNote note) {
		return this.heads.read()
			.flatMap((row) -> (ConfigurationHead.of(row).version() == note.basedOn()) ? Either.right(row)
					: this.heads.readConfirmed());
	}

	private NoteOutcome submit(String text, ReleaseNote note, Row headRow) {
		ConfigurationHead head = ConfigurationHead.of(headRow);
		if (head.version() != note.basedOn()) {
			return outdated(note, head);
		}
		Either<Failure, Configuration> base = this.snapshots.load(head);
		if (base.isLeft()) {
			return new NoteOutcome.Refused(base.getLeft());
		}
		return NoteChecker.check(text, base.get(), this.rules)
			.fold(NoteOutcome.Invalid::new, (next) -> save(note, headRow, next));
	}

	private NoteOutcome save(ReleaseNote note, Row headRow, Configuration next) {
		return this.snapshots.save(note)
			.flatMap((digest) -> this.snapshots.save(next))
			.fold(NoteOutcome.Refused::new, (snapshot) -> commit(note, headRow, next, snapshot));
	}

	private NoteOutcome commit(ReleaseNote note, Row headRow, Configuration next, String snapshot) {
		Transaction transaction = transaction(note, headRow, next, snapshot);
		Either<Failure, CommitResult> result = this.table.commit(transaction);
		boolean unsure = isUnknown(result);
		for (int attempt = 1; attempt < COMMIT_ATTEMPTS && unsure && result.isLeft(); attempt++) {
			result = this.table.commit(transaction);
		}
		if (result.isLeft()) {
			return unsure ? unknown(note, result.getLeft()) : new NoteOutcome.Refused(result.getLeft());
		}
		NoteOutcome outcome = (result.get() instanceof CommitResult.Conflict conflict) ? lost(note, conflict)
				: new NoteOutcome.Accepted(note.id(), next.version(), false);
		if (outcome instanceof NoteOutcome.Accepted won && won.version() == next.version()) {
			this.accepted.configurationChanged(next);
		}
		return outcome;
	}

	private static boolean isUnknown(Either<Failure, CommitResult> result) {
		return result.isLeft() && result.getLeft().code() == ErrorCode.STORE_UNKNOWN;
	}

	private static NoteOutcome unknown(ReleaseNote note, Failure failure) {
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

	private NoteOutcome lost(ReleaseNote note, CommitResult.Conflict conflict) {
		Option<NoteRecord> own = conflict.rows()
			.find((row) -> row.key().equals(TableKeys.note(note.id())))
			.flatMap(NoteHistory::decode);
		if (own.isDefined()) {
			return compareWithAccepted(note, own.get());
		}
		Row headRow = conflict.rows().head();
		return outdated(note, ConfigurationHead.of(headRow));
	}

	private NoteOutcome outdated(ReleaseNote note, ConfigurationHead head) {
		List<NoteRecord> between = this.history.since(head, note.basedOn(), MAXIMUM_NOTES_NAMED).getOrElse(List.of());
		return new NoteOutcome.Outdated(note.basedOn(), head.version(), between.stream().map(NoteRecord::id).toList(),
				changesSince(note, head, between));
	}

	private List<ConfigurationDifference.Change> changesSince(ReleaseNote note, ConfigurationHead head,
			List<NoteRecord> between) {
		if (between.isEmpty() || between.get(between.size() - 1).version() != note.basedOn() + 1) {
			return List.of();
		}
		return snapshotBefore(between.get(between.size() - 1))
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
