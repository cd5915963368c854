package org.crocuspost.release;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.json.JsonFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class NoteCheckerTests {

	private static final NoteRules RULES = new NoteRules(Set.of("zone-a", "zone-b"));

	private static final String COMPLETE = """
			// Every kind of member that a note can have.
			{
				"id": "complete", "basedOn": 1, "description": "all sections",
				"added": {
					"services": {
						"desk": {
							"match": {"host": "desk.example", "pathPrefix": "/desk"},
							"objective": {"latency": "PT0.25S", "latencyQuantile": 0.99, "availability": 0.999},
							"priority": 1, "timeout": "PT2S", "idempotentMethods": ["GET"]
						}
					},
					"jobs": {
						"rebuild": {
							"team": "rosters", "count": 8, "priority": 0, "urgent": true, "checkpointed": true,
							"size": {"milliCores": 2000, "memoryMebibytes": 4096, "accelerators": 1},
							"runTime": "PT10M", "deadline": "PT1H", "spread": "failure-domain"
						}
					},
					"quotas": {"rosters": {"milliCores": 64000, "memoryMebibytes": 131072}}
				},
				"changed": {"services": {"shop": %s}},
				"withdrawn": {"endpoints": ["shop-7"]},
				"domains": {"out": ["zone-a"]}, /* trailing comma */
			}
			""".formatted(NoteTexts.service("shop2"));

	@Test
	void noteWithAllSectionsIsApplied() {
		Configuration next = NoteChecker.check(COMPLETE, base(), RULES).get();
		assertThat(next.version()).isEqualTo(2);
		assertThat(next.services()).containsOnlyKeys("shop", "desk");
		assertThat(next.services().get("shop").match().pathPrefix()).isEqualTo("/shop2");
		assertThat(next.jobs().get("rebuild").spread()).isEqualTo(Spread.FAILURE_DOMAIN);
		assertThat(next.endpointsWithdrawn()).containsExactly("shop-7");
		assertThat(next.domainsOut()).containsExactly("zone-a");
		assertThat(next.quotas()).containsOnlyKeys("rosters");
	}

	@ParameterizedTest
	@MethodSource("descriptors")
	void everyFaultIsReportedWithItsPosition(Descriptor descriptor) {
		assertThat(faultsOf(descriptor.text())).containsExactly(descriptor.faults());
	}

	static Stream<Descriptor> descriptors() {
		return Stream.of(
				new Descriptor("nothing changes", "{\"id\": \"a\", \"basedOn\": 1}",
						"line 1, column 1, $: found a note that changes nothing, "
								+ "allowed is at least one addition, change or withdrawal"),
				new Descriptor("structural faults are reported all at once, before the others",
						"{\"id\": \"A\",\n\"basedOn\": -1,\n\"added\": {\"services\": {\"x\": {}}}, \"more\": 1}",
						"line 1, column 8, $.id: found \"A\", allowed is an identity of 1 to 80 lower-case letters, "
								+ "digits, dots and hyphens that starts with a letter or digit",
						"line 2, column 12, $.basedOn: found the number -1, "
								+ "allowed is a whole number from 0 to 9223372036854775807",
						missing(3, 29, "match"), missing(3, 29, "objective"), missing(3, 29, "timeout"),
						"line 3, column 43, $.more: found the unknown member \"more\", "
								+ "allowed is one of id, basedOn, description, added, changed, withdrawn, domains"),
				new Descriptor("names that do not exist",
						"{\"id\": \"a\", \"basedOn\": 1, \"withdrawn\":\n{\"services\": [\"shpo\"],\n\"jobs\": [\"nightly\"]},"
								+ "\n\"domains\": {\"out\": [\"zone-x\"],\n\"back\": [\"zone-b\"]}}",
						"line 2, column 15, $.withdrawn.services[0]: found \"shpo\", which does not exist, "
								+ "allowed is one of shop",
						"line 3, column 10, $.withdrawn.jobs[0]: found \"nightly\", which does not exist, "
								+ "allowed is one of (none)",
						"line 4, column 21, $.domains.out[0]: found \"zone-x\", which is not a failure domain of the deployment, "
								+ "allowed is one of zone-a, zone-b",
						"line 5, column 10, $.domains.back[0]: found \"zone-b\", which is not out of service, "
								+ "allowed is one of (none)"),
				new Descriptor("name that exists",
						"{\"id\": \"a\", \"basedOn\": 1, \"added\": {\"services\":\n{\"shop\": "
								+ NoteTexts.service("other") + "}}}",
						"line 2, column 10, $.added.services.shop: found \"shop\", which already exists, "
								+ "allowed is a name that does not exist yet"),
				new Descriptor("match of another service",
						"{\"id\": \"a\", \"basedOn\": 1, \"added\": {\"services\":\n{\"twin\": "
								+ NoteTexts.service("shop") + "}}}",
						"line 2, column 20, $.added.services.twin.match: found the match of service \"shop\", "
								+ "allowed is a host and path prefix that no other service has"));
	}

	@Test
	void tooLongTextIsReportedAsOneFault() {
		assertThat(faultsOf(" ".repeat(10_000_000))).singleElement().asString().contains("at most 1048576 characters");
	}

	@Property(seed = "7", tries = 2_000)
	void damagedNoteNeverThrows(@ForAll("damages") Damage damage) {
		int from = Math.min(damage.from(), COMPLETE.length());
		int to = Math.min(from + damage.length(), COMPLETE.length());
		String text = COMPLETE.substring(0, from) + damage.replacement() + COMPLETE.substring(to);
		NoteChecker.check(text, base(), RULES)
			.peekLeft((faults) -> assertThat(faults).isNotEmpty().allSatisfy((fault) -> {
				assertThat(fault.line()).isPositive();
				assertThat(fault.path()).startsWith("$");
			}));
	}

	@Provide
	Arbitrary<Damage> damages() {
		return Combinators.combine(Arbitraries.integers().between(0, COMPLETE.length()),
				Arbitraries.integers().between(0, 40), Arbitraries.of("", "{", "}", "[", "]", "\"", ",", "null",
						"1e400", "-0.0", "true", "\\u0000", "99999999999999999999", "PT", "{}", "[[[", "/*", "\ud800"))
			.as(Damage::new);
	}

	private static String missing(int line, int column, String member) {
		return "line " + line + ", column " + column + ", $.added.services.x: found no member \"" + member
				+ "\", allowed is the member \"" + member + "\", which is required";
	}

	private static Configuration base() {
		return NoteChecker.check(NoteTexts.addService("first", 0, "shop"), Configuration.EMPTY, RULES).get();
	}

	private static List<String> faultsOf(String text) {
		return NoteChecker.check(text, base(), RULES)
			.fold((faults) -> faults.stream().map(JsonFault::describe).toList(), (next) -> List.of());
	}

	private record Descriptor(String description, String text, String... faults) {

		@Override
		public String toString() {
			return this.description;
		}

	}

	private record Damage(int from, int length, String replacement) {
	}

}
