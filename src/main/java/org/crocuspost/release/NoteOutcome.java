package org.crocuspost.release;

import java.util.List;

import org.crocuspost.error.Failure;
import org.crocuspost.json.JsonFault;

/**
 * Outcome of the submission of a release note.
 */
public sealed interface NoteOutcome {

	/**
	 * The note is accepted, permanently.
	 *
	 * @param id the identifier of the note
	 * @param version the version of the configuration to which it led
	 * @param repeated whether the same note had been accepted before this submission
	 */
	record Accepted(String id, long version, boolean repeated) implements NoteOutcome {
	}

	/**
	 * The note has faults and is not accepted.
	 *
	 * @param faults all faults
	 */
	record Invalid(List<JsonFault> faults) implements NoteOutcome {

		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The note was written for another version than the newest and is not accepted.
	 *
	 * @param basedOn the version for which the note was written
	 * @param version the newest version
	 * @param notes the identifiers of notes accepted since that version, newest first, as
	 * far as they could be read
	 * @param changes the changes that they made; empty if they could not be determined
	 */
	record Outdated(long basedOn, long version, List<String> notes,
			List<ConfigurationDifference.Change> changes) implements NoteOutcome {

		public Outdated {
			notes = List.copyOf(notes);
			changes = List.copyOf(changes);
		}

	}

	/**
	 * The note is not accepted.
	 *
	 * @param failure the reason
	 */
	record Refused(Failure failure) implements NoteOutcome {
	}

	/**
	 * It is not known yet whether the note is accepted.
	 *
	 * @param id the identifier of the note
	 * @param failure the reason why it is not known
	 * @param resolution the action that determines whether the note is accepted
	 */
	record Unknown(String id, Failure failure, String resolution) implements NoteOutcome {
	}

}
