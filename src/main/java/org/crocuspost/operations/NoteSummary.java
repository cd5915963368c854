package org.crocuspost.operations;

import java.time.Instant;

import org.crocuspost.release.NoteRecord;

/**
 * A line in the list of accepted notes.
 *
 * @param version the version of the configuration to which the note led
 * @param id the identity of the note
 * @param acceptedAt when it was accepted
 * @param description what the note is for
 */
public record NoteSummary(long version, String id, Instant acceptedAt, String description) {

	static NoteSummary of(NoteRecord note) {
		return new NoteSummary(note.version(), note.id(), note.acceptedAt(), note.description());
	}

}
