package org.crocuspost.json;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class LocatedDocumentTests {

	static Stream<Descriptor> descriptors() {
		return Stream.of(
				new Descriptor("valid with comments", "{ // first\n\"name\": \"a\", /* second */ \"count\": 2,}"),
				new Descriptor("empty text", "", "line 1, column 1, $: found nothing, allowed is one JSON value"),
				new Descriptor("two values", "{\"name\": \"a\"}\n 2",
						"line 2, column 2, $: found more text after the value, allowed is one JSON value"),
				new Descriptor("not an object", "[]", "line 1, column 1, $: found an array, allowed is an object"),
				new Descriptor("missing and unknown members at once", "{\n  \"nmae\": \"a\"\n}",
						"line 1, column 1, $: found no member \"name\", allowed is the member \"name\", which is required",
						"line 2, column 11, $.nmae: found the unknown member \"nmae\", "
								+ "allowed is one of name, count, delay, share, spread, parts"),
				new Descriptor("several wrong values",
						"{\"name\": 1,\n\"count\": 2.5,\n\"delay\": \"soon\",\n\"share\": 2,\n\"spread\": \"x\",\n\"parts\": [true, 0]}",
						"line 1, column 10, $.name: found the number 1, allowed is a string",
						"line 2, column 10, $.count: found the number 2.5, allowed is a whole number from 1 to 9",
						"line 3, column 10, $.delay: found \"soon\", allowed is an ISO 8601 duration from PT0S to PT1M",
						"line 4, column 10, $.share: found the number 2, allowed is a number from 0.0 to 1.0",
						"line 5, column 11, $.spread: found \"x\", allowed is one of near, far-away",
						"line 6, column 17, $.parts[1]: found the number 0, allowed is true or false"),
				new Descriptor("huge exponent", "{\"name\": \"a\", \"count\": 1e999999}",
						"line 1, column 24, $.count: found the number 1e999999, allowed is a whole number from 1 to 9"),
				new Descriptor("member twice", "{\"name\": \"a\",\n\"name\": \"b\"}",
						"line 2, column 1, $.name: found the member a second time, allowed is each member once"));
	}

	@ParameterizedTest
	@MethodSource("descriptors")
	void everyFaultIsReportedWithItsPlace(Descriptor descriptor) {
		assertThat(faultsOf(descriptor.text())).containsExactly(descriptor.faults());
	}

	@ParameterizedTest
	@MethodSource("brokenTexts")
	void brokenTextIsOneFaultWithItsLine(String text) {
		assertThat(faultsOf(text)).singleElement().asString().startsWith("line 2, ");
	}

	static Stream<String> brokenTexts() {
		return Stream.of("{\n\"name\" 1}", "{\n\"name\": }", "{\n\"name\": \"a", "{\n/* open",
				"{\n" + "[".repeat(10_000));
	}

	@Property(seed = "42", tries = 2_000)
	void arbitraryTextNeverThrows(@ForAll @StringLength(max = 40) String text) {
		assertThat(faultsOf(text)).isNotNull();
	}

	private static List<String> faultsOf(String text) {
		JsonFaults faults = new JsonFaults();
		Optional<LocatedValue> root = LocatedDocument.read(text, faults);
		root.ifPresent((value) -> readExample(value, faults));
		return faults.list().stream().map(JsonFault::describe).toList();
	}

	private static void readExample(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		members.required("name", ValueReaders.string(), "");
		members.optional("count", ValueReaders.integer(1, 9), 1L);
		members.optional("delay", ValueReaders.duration(Duration.ZERO, Duration.ofMinutes(1)), Duration.ZERO);
		members.optional("share", ValueReaders.decimal(0, 1), 0.0);
		members.optional("spread", ValueReaders.enumeration(Spread.class));
		members.optional("parts", ValueReaders.list(ValueReaders.bool()), List.of());
		members.reportUnknownMembers();
	}

	private record Descriptor(String description, String text, String... faults) {

		@Override
		public String toString() {
			return this.description;
		}

	}

	private enum Spread {

		NEAR, FAR_AWAY

	}

}
