package org.crocuspost.operations;

import java.util.List;

import org.crocuspost.json.JsonFault;
import org.crocuspost.release.ConfigurationDifference;

/**
 * Result of checking a release note without submitting it.
 *
 * @param valid whether the note would be accepted if the configuration does not change
 * meanwhile
 * @param basedOn the version of the configuration for which the note was written; 0 if it
 * cannot be read
 * @param version the newest version of the configuration
 * @param faults all faults of the note
 * @param changes the changes that the note would make
 */
public record NoteCheckView(boolean valid, long basedOn, long version, List<JsonFault> faults,
		List<ConfigurationDifference.Change> changes) {
}
