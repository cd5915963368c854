package org.crocuspost.operations;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * State of a release note as operators see it.
 */
public enum NoteState {

	/**
	 * Whether the note is accepted is not known yet.
	 */
	UNKNOWN,

	/**
	 * The note is accepted, but some process may still act on an older version.
	 */
	ACCEPTED,

	/**
	 * Every process acts on the note's version or a newer one.
	 */
	IN_FORCE;

	/**
	 * Returns the state as it appears in answers.
	 * @return the name in lower case with hyphens
	 */
	@JsonValue
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
