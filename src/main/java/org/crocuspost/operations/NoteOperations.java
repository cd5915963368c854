package org.crocuspost.operations;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.distribution.InForceStatus;
import org.crocuspost.distribution.ConfirmationReader;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.JsonFault;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.release.ConfigurationDifference;
import org.crocuspost.release.ConfigurationHead;
import org.crocuspost.release.ConfigurationHeadReader;
import org.crocuspost.release.NoteAcceptance;
import org.crocuspost.release.NoteChecker;
import org.crocuspost.release.NoteHistory;
import org.crocuspost.release.NoteOutcome;
import org.crocuspost.release.NoteRecord;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.ReleaseNote;
import org.crocuspost.release.SnapshotStore;

/**
 * What operators can do with release notes. Calls block.
 */
public final class NoteOperations {

	private static final int MAXIMUM_UNRESOLVED = 1_000;

	private final NoteAcceptance acceptance;

	private final NoteHistory history;

	private final ConfigurationHeadReader heads;

	private final SnapshotStore snapshots;

	private final ConfigurationSource configurations;

	private final NoteRules rules;

	private final ConfirmationReader confirmations;

	// Version for which each note with an unknown outcome was written.
	private final ConcurrentMap<String, Long> unresolved = new ConcurrentHashMap<>();

	/**
	 * Creates the operations.
	 * @param acceptance accepts notes
	 * @param table the table service
	 * @param snapshots keeps the content of notes
	 * @param configurations gives the newest configuration that this process knows
	 * @param rules what notes are checked against besides the configuration
	 * @param confirmations tells which versions the processes have confirmed
	 */
	public NoteOperations(NoteAcceptance acceptance, TableService table, SnapshotStore snapshots,
			ConfigurationSource configurations, NoteRules rules, ConfirmationReader confirmations) {
		this.acceptance = acceptance;
		this.history = new NoteHistory(table);
		this.heads = new ConfigurationHeadReader(table);
		this.snapshots = snapshots;
		this.configurations = configurations;
		this.rules = rules;
		this.confirmations = confirmations;
	}

	/**
	 * Submits a note.
	 * @param text the JSON text with comments
	 * @return the note if it is accepted, else the reason
	 */
	Either<OperationsProblem, NoteView> submit(String text) {
		NoteOutcome outcome = this.acceptance.submit(text);
		if (outcome instanceof NoteOutcome.Accepted accepted) {
			this.unresolved.remove(accepted.id());
			return Either.right(new NoteView(accepted.id(), NoteState.ACCEPTED, accepted.version(), Optional.empty(),
					accepted.repeated(), List.of(), accepted.repeated() ? "the same note was accepted before" : ""));
		}
		return Either.left(problem(outcome, text));
	}

	private OperationsProblem problem(NoteOutcome outcome, String text) {
		if (outcome instanceof NoteOutcome.Invalid invalid) {
			return OperationsProblem.of(invalid);
		}
		if (outcome instanceof NoteOutcome.Outdated outdated) {
			return OperationsProblem.of(outdated);
		}
		if (outcome instanceof NoteOutcome.Unknown unknown) {
			remember(unknown, text);
			return OperationsProblem.of(unknown);
		}
		return OperationsProblem.of(((NoteOutcome.Refused) outcome).failure());
	}

	private void remember(NoteOutcome.Unknown unknown, String text) {
		if (this.unresolved.size() < MAXIMUM_UNRESOLVED) {
			NoteChecker.read(text).forEach((note) -> this.unresolved.put(unknown.id(), note.basedOn()));
		}
	}

	/**
	 * Checks a note against the newest configuration.
	 * @param text the JSON text with comments
	 * @return the faults, or what the note would change
	 */
	NoteCheckView check(String text) {
		Configuration base = this.configurations.current();
		long basedOn = NoteChecker.read(text).map(ReleaseNote::basedOn).getOrElse(0L);
		Either<List<JsonFault>, Configuration> next = NoteChecker.check(text, base, this.rules);
		List<ConfigurationDifference.Change> changes = next
			.map((configuration) -> ConfigurationDifference.between(base, configuration).changes())
			.getOrElse(List.of());
		List<JsonFault> faults = next.isLeft() ? next.getLeft() : List.of();
		return new NoteCheckView(faults.isEmpty() && basedOn == base.version(), basedOn, base.version(), faults,
				changes);
	}

	/**
	 * Tells the state of a note.
	 * @param id the identity of the note
	 * @return the note; {@code NOT_FOUND} if it was not accepted
	 */
	Either<Failure, NoteView> status(String id) {
		return this.history.find(id).flatMap((found) -> found.map(this::status).getOrElse(() -> statusOfMissing(id)));
	}

	private Either<Failure, NoteView> status(NoteRecord note) {
		return this.confirmations.read().map((processes) -> InForceStatus.of(note.version(), processes)).map((inForce) -> {
			NoteState state = inForce.inForce() ? NoteState.IN_FORCE : NoteState.ACCEPTED;
			return new NoteView(note.id(), state, note.version(), Optional.of(note.acceptedAt()), false,
					inForce.awaited(), note.description());
		});
	}

	// The transaction of an unresolved note needs the head that the note was based on.
	private Either<Failure, NoteView> statusOfMissing(String id) {
		Long basedOn = this.unresolved.get(id);
		if (basedOn == null) {
			return Either.left(ErrorCode.NOT_FOUND.with("note " + id));
		}
		return this.heads.readConfirmed().map(ConfigurationHead::of).flatMap((head) -> {
			if (head.version() > basedOn) {
				return this.history.find(id).flatMap((found) -> found.map(this::status).getOrElse(() -> {
					this.unresolved.remove(id);
					return Either.left(ErrorCode.NOT_FOUND.with("note " + id));
				}));
			}
			return Either.right(new NoteView(id, NoteState.UNKNOWN, 0, Optional.empty(), false, List.of(),
					"submit the same note again: it is accepted at most once"));
		});
	}

	/**
	 * Lists accepted notes.
	 * @param limit the greatest number of notes
	 * @return the notes, newest first
	 */
	Either<Failure, List<NoteSummary>> list(int limit) {
		return this.history.newest(limit).map((notes) -> notes.stream().map(NoteSummary::of).toList());
	}

	/**
	 * Returns the content of an accepted note.
	 * @param id the identity of the note
	 * @return the note
	 */
	Either<Failure, ReleaseNote> content(String id) {
		return this.history.find(id).flatMap((Option<NoteRecord> found) -> {
			Either<Failure, NoteRecord> note = found.toEither(ErrorCode.NOT_FOUND.with("note " + id));
			return note.flatMap((accepted) -> this.snapshots.loadNote(accepted.digest()));
		});
	}

	/**
	 * Says whether the newest version is in force.
	 * @return the newest version that this process knows, with the processes awaited
	 */
	Either<Failure, InForceStatus> inForce() {
		return this.confirmations.read()
			.map((processes) -> InForceStatus.of(this.configurations.current().version(), processes));
	}

	/**
	 * Returns the newest configuration that this process knows.
	 * @return the configuration
	 */
	Configuration configuration() {
		return this.configurations.current();
	}

}
