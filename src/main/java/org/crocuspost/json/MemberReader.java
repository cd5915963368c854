package org.crocuspost.json;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.json.LocatedValue.ObjectValue;

/**
 * Reads the members of one JSON object and reports every fault. A faulty or missing
 * member yields a placeholder, so that reading goes on and all faults are found; whoever
 * reads checks {@link JsonFaults#isEmpty()} before using the result.
 *
 * <p>
 * Example: <pre>
 * MemberReader members = MemberReader.of(value, faults);
 * String name = members.required("name", ValueReaders.string(), "");
 * long count = members.optional("count", ValueReaders.integer(1, 100), 1L);
 * members.finish();
 * </pre>
 */
public final class MemberReader {

	private final LocatedValue owner;

	private final Map<String, LocatedValue> members;

	private final JsonFaults faults;

	private final Set<String> known = new LinkedHashSet<>();

	private final boolean object;

	private MemberReader(LocatedValue owner, Map<String, LocatedValue> members, JsonFaults faults, boolean object) {
		this.owner = owner;
		this.members = members;
		this.faults = faults;
		this.object = object;
	}

	/**
	 * Creates a reader. A value that is not an object is reported once; its members all
	 * yield their placeholders.
	 * @param value the value
	 * @param faults is told of each fault
	 * @return the reader
	 */
	public static MemberReader of(LocatedValue value, JsonFaults faults) {
		if (value instanceof ObjectValue objectValue) {
			return new MemberReader(value, objectValue.members(), faults, true);
		}
		faults.add(value, "an object");
		return new MemberReader(value, Map.of(), faults, false);
	}

	/**
	 * Reads a member that must be there.
	 * @param name the name of the member
	 * @param type reads the value
	 * @param placeholder the result after a fault
	 * @param <T> the type of the result
	 * @return the value
	 */
	public <T> T required(String name, ValueReader<T> type, T placeholder) {
		this.known.add(name);
		LocatedValue value = this.members.get(name);
		if (value != null) {
			return type.read(value, this.faults).orElse(placeholder);
		}
		if (this.object) {
			this.faults.add(this.owner, "no member \"" + name + "\"", "the member \"" + name + "\", which is required");
		}
		return placeholder;
	}

	/**
	 * Reads a member that may be left out.
	 * @param name the name of the member
	 * @param type reads the value
	 * @param defaultValue the result if the member is left out or has a fault
	 * @param <T> the type of the result
	 * @return the value
	 */
	public <T> T optional(String name, ValueReader<T> type, T defaultValue) {
		return optional(name, type).orElse(defaultValue);
	}

	/**
	 * Reads a member that may be left out.
	 * @param name the name of the member
	 * @param type reads the value
	 * @param <T> the type of the result
	 * @return the value, or empty if the member is left out or has a fault
	 */
	public <T> Optional<T> optional(String name, ValueReader<T> type) {
		this.known.add(name);
		return Optional.ofNullable(this.members.get(name)).flatMap((value) -> type.read(value, this.faults));
	}

	/**
	 * Returns the JSON value of a member, for faults that concern several members.
	 * @param name the name of the member
	 * @return the value, or the object itself if there is no such member
	 */
	public LocatedValue locate(String name) {
		return this.members.getOrDefault(name, this.owner);
	}

	/**
	 * Reports each member that was not asked for.
	 */
	public void reportUnknownMembers() {
		this.members.forEach((name, value) -> {
			if (!this.known.contains(name)) {
				this.faults.add(value, "the unknown member \"" + name + "\"",
						"one of " + String.join(", ", this.known));
			}
		});
	}

}
