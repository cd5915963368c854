package org.crocuspost.release;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.configuration.ServiceMatch;
import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.configuration.TeamQuota;
import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.LocatedValue.ObjectValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.json.ValueReader;
import org.crocuspost.json.ValueReaders;
import org.crocuspost.platform.worker.Resources;

/**
 * Readers of services, jobs and quotas in a release note.
 */
final class SpecificationReaders {

	/**
	 * Reads the name of a service, job, team, endpoint or failure domain.
	 */
	static final ValueReader<String> NAME = ValueReaders.string(Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}"),
			"a name of 1 to 128 letters, digits, dots, colons, hyphens and underscores that starts with a letter or digit");

	private static final int LOWEST_PRIORITY = 9;

	private static final long DEFAULT_PRIORITY = 5;

	private static final Duration SHORTEST = Duration.ofMillis(1);

	private static final Duration LONGEST_REQUEST = Duration.ofHours(1);

	private static final Duration LONGEST_JOB = Duration.ofDays(365);

	private static final long MAXIMUM_TASKS = 100_000;

	private static final long MAXIMUM_AMOUNT = 1_000_000_000L;

	private static final ValueReader<String> PATH_PREFIX = ValueReaders.string(Pattern.compile("/[^?#\\s]{0,1023}"),
			"a path that starts with a slash and has no query");

	private static final ValueReader<String> METHOD = ValueReaders.string(Pattern.compile("[A-Z]{1,20}"),
			"an HTTP method in upper case");

	private static final ValueReader<String> HOST = ValueReaders
		.string(Pattern.compile("\\*|[A-Za-z0-9]([A-Za-z0-9.-]{0,252})"), "a host name, an IP number or \"*\"");

	private SpecificationReaders() {
	}

	static ValueReader<Declarations> declarations() {
		return (value, faults) -> {
			MemberReader members = MemberReader.of(value, faults);
			Declarations result = new Declarations(
					members.optional("services", named(SpecificationReaders::service), new TreeMap<>()),
					members.optional("jobs", named(SpecificationReaders::job), new TreeMap<>()),
					members.optional("quotas", named(SpecificationReaders::quota), new TreeMap<>()),
					members.optional("endpoints", names(), List.of()));
			members.reportUnknownMembers();
			return Optional.of(result);
		};
	}

	static ValueReader<Withdrawals> withdrawals() {
		return (value, faults) -> {
			MemberReader members = MemberReader.of(value, faults);
			Withdrawals result = new Withdrawals(members.optional("services", names(), List.of()),
					members.optional("jobs", names(), List.of()), members.optional("quotas", names(), List.of()),
					members.optional("endpoints", names(), List.of()));
			members.reportUnknownMembers();
			return Optional.of(result);
		};
	}

	static ValueReader<DomainChanges> domains() {
		return (value, faults) -> {
			MemberReader members = MemberReader.of(value, faults);
			DomainChanges result = new DomainChanges(members.optional("out", names(), List.of()),
					members.optional("back", names(), List.of()));
			members.reportUnknownMembers();
			return Optional.of(result);
		};
	}

	private static ValueReader<List<String>> names() {
		return ValueReaders.list(NAME);
	}

	private static <T> ValueReader<SortedMap<String, T>> named(Function<String, ValueReader<T>> specification) {
		return (value, faults) -> {
			if (!(value instanceof ObjectValue object)) {
				faults.add(value, "an object with a member for each name");
				return Optional.empty();
			}
			SortedMap<String, T> result = new TreeMap<>();
			object.members().forEach((name, member) -> {
				checkName(name, member, faults);
				specification.apply(name).read(member, faults).ifPresent((read) -> result.put(name, read));
			});
			return Optional.of(result);
		};
	}

	private static void checkName(String name, LocatedValue member, JsonFaults faults) {
		NAME.read(new LocatedValue.StringValue(member.position(), name), faults);
	}

	private static ValueReader<ServiceSpecification> service(String name) {
		return (value, faults) -> {
			MemberReader members = MemberReader.of(value, faults);
			ServiceMatch match = members.required("match", SpecificationReaders::match, new ServiceMatch("*", "/"));
			ServiceObjective objective = members.required("objective", SpecificationReaders::objective,
					new ServiceObjective(SHORTEST, 0, 0));
			long priority = members.optional("priority", ValueReaders.integer(0, LOWEST_PRIORITY), DEFAULT_PRIORITY);
			Duration timeout = members.required("timeout", ValueReaders.duration(SHORTEST, LONGEST_REQUEST),
					LONGEST_REQUEST);
			List<String> methods = members.optional("idempotentMethods", ValueReaders.list(METHOD),
					List.copyOf(ServiceSpecification.DEFAULT_IDEMPOTENT_METHODS));
			members.reportUnknownMembers();
			return Optional
				.of(new ServiceSpecification(name, match, objective, (int) priority, timeout, Set.copyOf(methods)));
		};
	}

	private static Optional<ServiceMatch> match(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		ServiceMatch match = new ServiceMatch(members.optional("host", HOST, "*"),
				members.optional("pathPrefix", PATH_PREFIX, "/"));
		members.reportUnknownMembers();
		return Optional.of(match);
	}

	private static Optional<ServiceObjective> objective(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		ServiceObjective objective = new ServiceObjective(
				members.required("latency", ValueReaders.duration(SHORTEST, LONGEST_REQUEST), SHORTEST),
				members.required("latencyQuantile", ValueReaders.decimal(0.5, 0.99999), 0.5),
				members.required("availability", ValueReaders.decimal(0.5, 0.99999), 0.5));
		members.reportUnknownMembers();
		return Optional.of(objective);
	}

	private static ValueReader<JobSpecification> job(String name) {
		return (value, faults) -> {
			MemberReader members = MemberReader.of(value, faults);
			String team = members.required("team", NAME, "");
			long count = members.optional("count", ValueReaders.integer(1, MAXIMUM_TASKS), 1L);
			Resources size = members.required("size", SpecificationReaders::resources, Resources.NONE);
			Duration runTime = members.required("runTime", ValueReaders.duration(SHORTEST, LONGEST_JOB), SHORTEST);
			long priority = members.optional("priority", ValueReaders.integer(0, LOWEST_PRIORITY), DEFAULT_PRIORITY);
			boolean urgent = members.optional("urgent", ValueReaders.bool(), false);
			boolean checkpointed = members.optional("checkpointed", ValueReaders.bool(), false);
			Optional<Duration> deadline = members.optional("deadline", ValueReaders.duration(SHORTEST, LONGEST_JOB));
			Spread spread = members.optional("spread", ValueReaders.enumeration(Spread.class), Spread.NONE);
			members.reportUnknownMembers();
			return Optional.of(new JobSpecification(name, team, (int) count, size, runTime, (int) priority, urgent,
					checkpointed, deadline, spread));
		};
	}

	private static ValueReader<TeamQuota> quota(String team) {
		return (value, faults) -> resources(value, faults).map((limit) -> new TeamQuota(team, limit));
	}

	private static Optional<Resources> resources(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		Resources resources = new Resources(members.required("milliCores", ValueReaders.integer(0, MAXIMUM_AMOUNT), 0L),
				members.required("memoryMebibytes", ValueReaders.integer(0, MAXIMUM_AMOUNT), 0L),
				members.optional("accelerators", ValueReaders.integer(0, MAXIMUM_TASKS), 0L).intValue());
		members.reportUnknownMembers();
		return Optional.of(resources);
	}

}
