package org.crocuspost.operations;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.crocuspost.distribution.AwaitedProcess;

/**
 * Release note with its state, as reported to operators.
 *
 * @param id the id of the note
 * @param state the state
 * @param version the version of the configuration that the note created; 0 if unknown
 * @param acceptedAt when it was accepted; empty if not known
 * @param repeated whether the same note had already been accepted before this submission
 * @param awaited processes that have not confirmed the version, as far as their names are
 * known
 * @param detail further information in plain English
 */
public record NoteView(String id, NoteState state, long version, Optional<Instant> acceptedAt, boolean repeated,
		List<AwaitedProcess> awaited, String detail) {
}
