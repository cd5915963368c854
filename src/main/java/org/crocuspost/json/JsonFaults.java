package org.crocuspost.json;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the faults of one JSON text so that they are reported together.
 */
public final class JsonFaults {

	/**
	 * Maximum number of faults that are kept; further faults are dropped.
	 */
	static final int MAXIMUM_COUNT = 1_000;

	private static final Comparator<JsonFault> ORDER = Comparator.comparingInt(JsonFault::line)
		.thenComparingInt(JsonFault::column);

	private final List<JsonFault> faults = new ArrayList<>();

	/**
	 * Adds a fault at the position of a value.
	 * @param value the faulty value
	 * @param found a description of what was found
	 * @param allowed a description of what is allowed
	 */
	public void add(LocatedValue value, String found, String allowed) {
		add(new JsonFault(value.line(), value.column(), value.path(), found, allowed));
	}

	/**
	 * Adds a fault at the position of a value and describes the value by its content.
	 * @param value the faulty value
	 * @param allowed a description of what is allowed
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
	 * Returns whether no fault was added.
	 * @return true if there is no fault
	 */
	public boolean isEmpty() {
		return this.faults.isEmpty();
	}

	/**
	 * Returns all faults.
	 * @return the faults, sorted by line and column
	 */
	public List<JsonFault> list() {
		return this.faults.stream().sorted(ORDER).toList();
	}

}
