package org.crocuspost.json;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the faults of one JSON text, so that all are reported at once.
 */
public final class JsonFaults {

	/**
	 * Number of faults that are kept; further ones are dropped.
	 */
	static final int MAXIMUM_COUNT = 1_000;

	private static final Comparator<JsonFault> ORDER = Comparator.comparingInt(JsonFault::line)
		.thenComparingInt(JsonFault::column);

	private final List<JsonFault> faults = new ArrayList<>();

	/**
	 * Adds a fault at a value.
	 * @param value the faulty value
	 * @param found what was found
	 * @param allowed what is allowed
	 */
	public void add(LocatedValue value, String found, String allowed) {
		add(new JsonFault(value.line(), value.column(), value.path(), found, allowed));
	}

	/**
	 * Adds a fault at a value that is described by its content.
	 * @param value the faulty value
	 * @param allowed what is allowed
	 */
	public void add(LocatedValue value, String allowed) {
		add(value, value.describe(), allowed);
	}

	/**
	 * Adds a fault.
	 * @param fault the fault
	 */
	public void add(JsonFault fault) {
		if (this.faults.size() < MAXIMUM_COUNT) {
			this.faults.add(fault);
		}
	}

	/**
	 * Says whether there is no fault.
	 * @return true if none was added
	 */
	public boolean isEmpty() {
		return this.faults.isEmpty();
	}

	/**
	 * Returns all faults.
	 * @return the faults in order of line and column
	 */
	public List<JsonFault> list() {
		return this.faults.stream().sorted(ORDER).toList();
	}

}
