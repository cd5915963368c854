package org.crocuspost.operations;

import java.time.Instant;

import org.crocuspost.release.NoteRecord;

/**
 * Entry in the list of accepted notes.
 *
 * @param version the version of the configuration that the note created
 * @param id the id of the note
 * @param acceptedAt when it was accepted
 * @param description the description that the note contains
 */
public record NoteSummary(long version, String id, Instant acceptedAt, String description) {

	static NoteSummary of(NoteRecord note) {
		return new NoteSummary(note.version(), note.id(), note.acceptedAt(), note.description());
	}

}
