package org.crocuspost.settings;

import java.time.Duration;

import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.MemberReader;

/**
 * Reads durations that have defaults and must stand in an order.
 */
final class TimeReader {

	private final MemberReader members;

	private final JsonFaults faults;

	TimeReader(MemberReader members, JsonFaults faults) {
		this.members = members;
		this.faults = faults;
	}

	Duration optional(String name, Duration defaultValue) {
		return this.members.optional(name, CommonReaders.duration(), defaultValue);
	}

	void requireLonger(String longName, Duration longer, String shortName, Duration shorter) {
		if (longer.compareTo(shorter) <= 0) {
			this.faults.add(this.members.locate(longName), longName + " of " + longer,
					"longer than " + shortName + ", which is " + shorter);
		}
	}

}
