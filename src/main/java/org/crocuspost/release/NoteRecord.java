package org.crocuspost.release;

import java.time.Instant;

/**
 * Content of the row of an accepted release note.
 *
 * @param id the identifier of the note
 * @param digest the digest of the note
 * @param version the version of the configuration to which the note led
 * @param snapshot the digest of the snapshot of that configuration
 * @param previousId the identifier of the note accepted before; empty for the first
 * @param acceptedAt the time of acceptance, by the clock of the entry that accepted the
 * note
 * @param description the purpose of the note
 */
public record NoteRecord(String id, String digest, long version, String snapshot, String previousId, Instant acceptedAt,
		String description) {
}
