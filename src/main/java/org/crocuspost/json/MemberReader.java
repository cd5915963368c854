package org.crocuspost.json;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.json.LocatedValue.ObjectValue;

/**
 * Reads the members of one JSON object and reports every fault. A faulty or missing
 * member yields a placeholder so that reading continues and all faults are found. Callers
 * must check {@link JsonFaults#isEmpty()} before they use the result.
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

	private final Set<String> requestedNames = new LinkedHashSet<>();

	private final boolean isObject;

	private MemberReader(LocatedValue owner, Map<String, LocatedValue> members, JsonFaults faults, boolean object) {
		this.owner = owner;
		this.members = members;
		this.faults = faults;
		this.isObject = object;
	}

	/**
	 * Creates a reader. A value that is not an object is reported once, and every member
	 * read from it yields its placeholder or default.
	 * @param value the value
	 * @param faults collects the faults
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
	 * Reads a required member.
	 * @param name the name of the member
	 * @param type the reader of the value
	 * @param placeholder the result if the member is missing or faulty
	 * @param <T> the type of the result
	 * @return the value
	 */
	public <T> T required(String name, ValueReader<T> type, T placeholder) {
		this.requestedNames.add(name);
		LocatedValue value = this.members.get(name);
		if (value != null) {
			return type.read(value, this.faults).orElse(placeholder);
		}
		if (this.isObject) {
			this.faults.add(this.owner, "no member \"" + name + "\"", "the member \"" + name + "\", which is required");
		}
		return placeholder;
	}

	/**
	 * Reads an optional member.
	 * @param name the name of the member
	 * @param type the reader of the value
	 * @param defaultValue the result if the member is missing or faulty
	 * @param <T> the type of the result
	 * @return the value
	 */
	public <T> T optional(String name, ValueReader<T> type, T defaultValue) {
		return optional(name, type).orElse(defaultValue);
	}

	/**
	 * Reads an optional member.
	 * @param name the name of the member
	 * @param type the reader of the value
	 * @param <T> the type of the result
	 * @return the value, or empty if the member is missing or faulty
	 */
	public <T> Optional<T> optional(String name, ValueReader<T> type) {
		this.requestedNames.add(name);
		return Optional.ofNullable(this.members.get(name)).flatMap((value) -> type.read(value, this.faults));
	}

	/**
	 * Returns the JSON value of a member. Used to locate faults that concern several
	 * members.
	 * @param name the name of the member
	 * @return the value, or the object itself if there is no such member
	 */
	public LocatedValue locate(String name) {
		return this.members.getOrDefault(name, this.owner);
	}

	/**
	 * Reports a fault for each member that was not read. Must be called after all members
	 * have been read.
	 */
	public void reportUnknownMembers() {
		this.members.forEach((name, value) -> {
			if (!this.requestedNames.contains(name)) {
				this.faults.add(value, "the unknown member \"" + name + "\"",
						"one of " + String.join(", ", this.requestedNames));
			}
		});
	}

}
