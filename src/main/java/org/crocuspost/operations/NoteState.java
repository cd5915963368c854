package org.crocuspost.operations;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * State of a release note as reported to operators.
 */
public enum NoteState {

	/**
	 * It is not yet known whether the note was accepted.
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
	 * Returns the state as it appears in responses.
	 * @return the name in lower case with hyphens
	 */
	@JsonValue
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
