package org.crocuspost.operations;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.distribution.ConfirmationReader;
import org.crocuspost.distribution.InForceStatus;
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
 * Operations of operators on release notes. A release note is a JSON document that
 * declares changes of the configuration; an accepted note creates the next version of it.
 * Calls block.
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

	// Configuration version for which each note with an unknown outcome was written, by
	// id of the note.
	private final ConcurrentMap<String, Long> unresolved = new ConcurrentHashMap<>();

	/**
	 * Creates the operations.
	 * @param acceptance validates and commits submitted notes
	 * @param table the table service
	 * @param snapshots stores the content of notes
	 * @param configurations supplies the newest configuration that this process has
	 * received
	 * @param rules the rules that notes are checked against besides the configuration
	 * @param confirmations supplies the versions that the processes have confirmed
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
	 * @return the note if it is accepted, otherwise the problem
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
			trackUnresolved(unknown, text);
			return OperationsProblem.of(unknown);
		}
		return OperationsProblem.of(((NoteOutcome.Refused) outcome).failure());
	}

	private void trackUnresolved(NoteOutcome.Unknown unknown, String text) {
		if (this.unresolved.size() < MAXIMUM_UNRESOLVED) {
			NoteChecker.read(text).forEach((note) -> this.unresolved.put(unknown.id(), note.basedOn()));
		}
	}

	/**
	 * Checks a note against the newest configuration.
	 * @param text the JSON text with comments
	 * @return the faults, or the changes that the note would make
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
	 * Returns the state of a note.
	 * @param id the id of the note
	 * @return the note, with state {@code UNKNOWN} while the outcome of its submission is
	 * unresolved; {@code NOT_FOUND} if it was not accepted
	 */
	Either<Failure, NoteView> status(String id) {
		return this.history.find(id).flatMap((found) -> found.map(this::status).getOrElse(() -> statusOfMissing(id)));
	}

	private Either<Failure, NoteView> status(NoteRecord note) {
		return this.confirmations.read()
			.map((processes) -> InForceStatus.of(note.version(), processes))
			.map((inForce) -> {
				NoteState state = inForce.inForce() ? NoteState.IN_FORCE : NoteState.ACCEPTED;
				return new NoteView(note.id(), state, note.version(), Optional.of(note.acceptedAt()), false,
						inForce.awaited(), note.description());
			});
	}

	// The transaction of an unresolved note succeeds only on the head that the note was
	// based on. Once the head is newer, a note that is missing from the history can no
	// longer be accepted.
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
	 * @param limit the maximum number of notes
	 * @return the notes, newest first
	 */
	Either<Failure, List<NoteSummary>> list(int limit) {
		return this.history.newest(limit).map((notes) -> notes.stream().map(NoteSummary::of).toList());
	}

	/**
	 * Returns the content of an accepted note.
	 * @param id the id of the note
	 * @return the note
	 */
	Either<Failure, ReleaseNote> content(String id) {
		return this.history.find(id).flatMap((Option<NoteRecord> found) -> {
			Either<Failure, NoteRecord> note = found.toEither(ErrorCode.NOT_FOUND.with("note " + id));
			return note.flatMap((accepted) -> this.snapshots.loadNote(accepted.digest()));
		});
	}

	/**
	 * Returns whether the newest version is in force everywhere.
	 * @return the newest version that this process has received, with the processes that
	 * have not confirmed it
	 */
	Either<Failure, InForceStatus> inForce() {
		return this.confirmations.read()
			.map((processes) -> InForceStatus.of(this.configurations.current().version(), processes));
	}

	/**
	 * Returns the newest configuration that this process has received.
	 * @return the configuration
	 */
	Configuration configuration() {
		return this.configurations.current();
	}

}
