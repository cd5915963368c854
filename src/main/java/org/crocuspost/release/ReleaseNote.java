package org.crocuspost.release;

import java.util.Objects;

/**
 * Holds a release note: a change of the configuration that an operator submits.
 *
 * @param id the identifier, chosen by the operator
 * @param basedOn the version of the configuration for which the note was written
 * @param description the purpose of the note
 * @param added the declarations that the note adds
 * @param changed the declarations that the note changes
 * @param withdrawn the items that the note withdraws
 * @param domains the failure domains that the note takes out of service or returns to
 * service
 */
public record ReleaseNote(String id, long basedOn, String description, Declarations added, Declarations changed,
		Withdrawals withdrawn, DomainChanges domains) {

	public ReleaseNote {
		Objects.requireNonNull(id, "id");
	}

	/**
	 * Returns whether the note changes nothing.
	 * @return true if all sections are empty
	 */
	public boolean changesNothing() {
		return this.added.isEmpty() && this.changed.isEmpty() && this.withdrawn.isEmpty() && this.domains.isEmpty();
	}

	/**
	 * Returns the digest of the content. Comments and white space in the note's file do
	 * not affect it.
	 * @return the SHA-256 digest in hexadecimal
	 */
	public String digest() {
		return Digests.sha256(CanonicalJson.write(this));
	}

}
