package org.crocuspost.release;

import java.util.Set;

/**
 * What a note is checked against besides the configuration.
 *
 * @param failureDomains the failure domains of the deployment; empty if they are not
 * known, so that any name is allowed
 */
public record NoteRules(Set<String> failureDomains) {

	/**
	 * Allows any failure domain.
	 */
	public static final NoteRules ANY_FAILURE_DOMAIN = new NoteRules(Set.of());

	public NoteRules {
		failureDomains = Set.copyOf(failureDomains);
	}

	boolean allowsDomain(String name) {
		return this.failureDomains.isEmpty() || this.failureDomains.contains(name);
	}

}
