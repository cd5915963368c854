package org.crocuspost.release;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.json.JsonFault;
import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedDocument;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.LocatedValue.ArrayValue;
import org.crocuspost.json.LocatedValue.ObjectValue;
import org.crocuspost.json.LocatedValue.StringValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.json.ValueReader;
import org.crocuspost.json.ValueReaders;

/**
 * Reads release notes and reports every fault at once, each with its place in the text.
 */
public final class NoteChecker {

	/**
	 * Greatest length of a note in characters.
	 */
	public static final int MAXIMUM_LENGTH = 1 << 20;

	private static final ValueReader<String> ID = ValueReaders.string(Pattern.compile("[a-z0-9][a-z0-9.-]{0,79}"),
			"an identity of 1 to 80 lower-case letters, digits, dots and hyphens that starts with a letter or digit");

	private static final ValueReader<String> DESCRIPTION = ValueReaders.string(Pattern.compile("(?s).{0,2000}"),
			"a text of at most 2000 characters");

	private NoteChecker() {
	}

	/**
	 * Reads a note without looking at a configuration.
	 * @param text the JSON text with comments
	 * @return the note, or every fault of its form
	 */
	public static Either<List<JsonFault>, ReleaseNote> read(String text) {
		return locate(text).map(LocatedNote::note);
	}

	/**
	 * Reads a note and applies it.
	 * @param text the JSON text with comments
	 * @param base the configuration for which the note was written
	 * @param rules what the note is checked against besides the configuration
	 * @return the next configuration, or every fault of the note
	 */
	public static Either<List<JsonFault>, Configuration> check(String text, Configuration base, NoteRules rules) {
		return locate(text).flatMap((located) -> NoteApplication.apply(base, located.note(), rules)
			.mapLeft((faults) -> faults.stream().map((fault) -> place(located.root(), fault)).toList()));
	}

	private static Either<List<JsonFault>, LocatedNote> locate(String text) {
		if (text.length() > MAXIMUM_LENGTH) {
			return Either.left(List.of(new JsonFault(1, 1, "$", text.length() + " characters",
					"at most " + MAXIMUM_LENGTH + " characters")));
		}
		JsonFaults faults = new JsonFaults();
		Optional<LocatedNote> located = LocatedDocument.read(text, faults)
			.map((root) -> new LocatedNote(root, readNote(root, faults)));
		return (faults.isEmpty() && located.isPresent()) ? Either.right(located.get()) : Either.left(faults.list());
	}

	private static ReleaseNote readNote(LocatedValue root, JsonFaults faults) {
		MemberReader members = MemberReader.of(root, faults);
		ReleaseNote note = new ReleaseNote(members.required("id", ID, ""),
				members.required("basedOn", ValueReaders.integer(0, Long.MAX_VALUE), 0L),
				members.optional("description", DESCRIPTION, ""),
				members.optional("added", SpecificationReaders.declarations(), Declarations.NONE),
				members.optional("changed", SpecificationReaders.declarations(), Declarations.NONE),
				members.optional("withdrawn", SpecificationReaders.withdrawals(), Withdrawals.NONE),
				members.optional("domains", SpecificationReaders.domains(), DomainChanges.NONE));
		members.reportUnknownMembers();
		return note;
	}

	private static JsonFault place(LocatedValue root, NoteFault fault) {
		LocatedValue value = root;
		for (String segment : fault.path()) {
			value = step(value, segment).orElse(value);
		}
		return new JsonFault(value.line(), value.column(), value.path(), fault.found(), fault.allowed());
	}

	private static Optional<LocatedValue> step(LocatedValue value, String segment) {
		if (value instanceof ObjectValue object) {
			return Optional.ofNullable(object.members().get(segment));
		}
		if (value instanceof ArrayValue array) {
			return array.elements()
				.stream()
				.filter((element) -> element instanceof StringValue string && string.text().equals(segment))
				.reduce((first, second) -> second);
		}
		return Optional.empty();
	}

	private record LocatedNote(LocatedValue root, ReleaseNote note) {
	}

}
