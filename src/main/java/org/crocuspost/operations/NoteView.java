package org.crocuspost.operations;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.crocuspost.distribution.AwaitedProcess;

/**
 * A release note as operators see it.
 *
 * @param id the identity of the note
 * @param state the state
 * @param version the version of the configuration to which the note led; 0 if unknown
 * @param acceptedAt when it was accepted
 * @param repeated whether the same note had been accepted before this submit
 * @param awaited processes that have not confirmed the version, as far as they are named
 * @param detail what else there is to say, in plain English
 */
public record NoteView(String id, NoteState state, long version, Optional<Instant> acceptedAt, boolean repeated,
		List<AwaitedProcess> awaited, String detail) {
}
