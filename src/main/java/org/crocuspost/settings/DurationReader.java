package org.crocuspost.settings;

import java.time.Duration;

import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.MemberReader;

/**
 * Reads duration members that have defaults, and reports a duration that is not longer
 * than another one that must be shorter.
 */
final class DurationReader {

	private final MemberReader members;

	private final JsonFaults faults;

	DurationReader(MemberReader members, JsonFaults faults) {
		this.members = members;
		this.faults = faults;
	}

	Duration optional(String name, Duration defaultValue) {
		return this.members.optional(name, CommonReaders.duration(), defaultValue);
	}

	void requireLonger(String longerName, Duration longer, String shorterName, Duration shorter) {
		if (longer.compareTo(shorter) <= 0) {
			this.faults.add(this.members.locate(longerName), longerName + " of " + longer,
					"longer than " + shorterName + ", which is " + shorter);
		}
	}

}
