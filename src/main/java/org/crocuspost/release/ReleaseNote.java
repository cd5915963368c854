package org.crocuspost.release;

import java.util.Objects;

/**
 * A release note.
 *
 * @param id identity, chosen by the operator
 * @param basedOn version of the configuration for which the note was written
 * @param description what the note is for
 * @param added what the note adds
 * @param changed what the note changes
 * @param withdrawn what the note withdraws
 * @param domains failure domains that the note takes out or back
 */
public record ReleaseNote(String id, long basedOn, String description, Declarations added, Declarations changed,
		Withdrawals withdrawn, DomainChanges domains) {

	public ReleaseNote {
		Objects.requireNonNull(id, "id");
	}

	/**
	 * Says whether the note changes nothing.
	 * @return true if all sections are empty
	 */
	public boolean changesNothing() {
		return this.added.isEmpty() && this.changed.isEmpty() && this.withdrawn.isEmpty() && this.domains.isEmpty();
	}

	/**
	 * Returns the digest of the content. Comments and spacing in the note's file do not
	 * count.
	 * @return the SHA-256 digest in hexadecimal
	 */
	public String digest() {
		return Digests.sha256(CanonicalJson.write(this));
	}

}
