package org.crocuspost.operations;

import java.util.List;

import org.crocuspost.json.JsonFault;
import org.crocuspost.release.ConfigurationDifference;

/**
 * Result of the check of a note that is not submitted.
 *
 * @param valid whether the note would be accepted if nothing changes meanwhile
 * @param basedOn the version for which the note was written; 0 if it cannot be read
 * @param version the newest version
 * @param faults every fault
 * @param changes what the note would change
 */
public record NoteCheckView(boolean valid, long basedOn, long version, List<JsonFault> faults,
		List<ConfigurationDifference.Change> changes) {
}
