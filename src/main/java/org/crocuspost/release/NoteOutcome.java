package org.crocuspost.release;

import java.util.List;

import org.crocuspost.error.Failure;
import org.crocuspost.json.JsonFault;

/**
 * What became of a submitted release note.
 */
public sealed interface NoteOutcome {

	/**
	 * The note is accepted and never reverts.
	 *
	 * @param id the identity of the note
	 * @param version the version of the configuration to which it led
	 * @param repeated whether the same note had been accepted before this submit
	 */
	record Accepted(String id, long version, boolean repeated) implements NoteOutcome {
	}

	/**
	 * The note has faults and is not accepted.
	 *
	 * @param faults every fault
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
	 * @param notes identities of notes accepted in between, newest first, as far as known
	 * @param changes what they changed, as far as known
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
	 * Whether the note is accepted is not known yet.
	 *
	 * @param id the identity of the note
	 * @param failure why it is not known
	 * @param resolution how it becomes known
	 */
	record Unknown(String id, Failure failure, String resolution) implements NoteOutcome {
	}

}
