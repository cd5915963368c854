package org.crocuspost.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.ServiceMatch;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.configuration.TeamQuota;

/**
 * Applies a release note to a configuration, which yields the next configuration.
 */
public final class NoteApplier {

	private final Configuration base;

	private final ReleaseNote note;

	private final NoteRules rules;

	private final List<NoteFault> faults = new ArrayList<>();

	private NoteApplier(Configuration base, ReleaseNote note, NoteRules rules) {
		this.base = base;
		this.note = note;
		this.rules = rules;
	}

	/**
	 * Applies a note.
	 * @param base the configuration for which the note was written
	 * @param note the note
	 * @param rules the rules that the note is checked against besides the configuration
	 * @return the next configuration, or all faults of the note
	 */
	public static Either<List<NoteFault>, Configuration> apply(Configuration base, ReleaseNote note, NoteRules rules) {
		return new NoteApplier(base, note, rules).apply();
	}

	private Either<List<NoteFault>, Configuration> apply() {
		if (this.note.changesNothing()) {
			addFault(List.of(), "a note that changes nothing", "at least one addition, change or withdrawal");
		}
		Map<String, ServiceSpecification> services = merge("services", this.base.services(),
				this.note.added().services(), this.note.changed().services(), this.note.withdrawn().services());
		Map<String, JobSpecification> jobs = merge("jobs", this.base.jobs(), this.note.added().jobs(),
				this.note.changed().jobs(), this.note.withdrawn().jobs());
		Map<String, TeamQuota> quotas = merge("quotas", this.base.quotas(), this.note.added().quotas(),
				this.note.changed().quotas(), this.note.withdrawn().quotas());
		Set<String> endpoints = mergeSet(this.base.endpointsWithdrawn(), this.note.withdrawn().endpoints(),
				List.of("withdrawn", "endpoints"), this.note.added().endpoints(), List.of("added", "endpoints"),
				"withdrawn");
		checkNoEndpointsChanged();
		checkDomainNames();
		Set<String> domains = mergeSet(this.base.domainsOut(), this.note.domains().out(), List.of("domains", "out"),
				this.note.domains().back(), List.of("domains", "back"), "out of service");
		checkMatches(services);
		if (!this.faults.isEmpty()) {
			return Either.left(List.copyOf(this.faults));
		}
		return Either.right(
				new Configuration(this.base.version() + 1, this.note.id(), services, jobs, endpoints, domains, quotas));
	}

	private <T> Map<String, T> merge(String section, Map<String, T> present, Map<String, T> added,
			Map<String, T> changed, List<String> withdrawn) {
		Map<String, T> result = new HashMap<>(present);
		added.forEach((name, value) -> {
			if (result.put(name, value) != null) {
				addFault(List.of("added", section, name), quote(name) + ", which already exists",
						"a name that does not exist yet");
			}
		});
		changed.forEach((name, value) -> {
			if (result.put(name, value) == null || added.containsKey(name)) {
				addFault(List.of("changed", section, name), quote(name) + ", which does not exist",
						"one of " + joinNames(present.keySet()));
			}
		});
		Set<String> seen = new HashSet<>();
		withdrawn.forEach((name) -> {
			if (!present.containsKey(name)) {
				addFault(List.of("withdrawn", section, name), quote(name) + ", which does not exist",
						"one of " + joinNames(present.keySet()));
			}
			else if (!seen.add(name) || changed.containsKey(name)) {
				addFault(List.of("withdrawn", section, name), quote(name) + " more than once",
						"each name once in a note");
			}
			result.remove(name);
		});
		return result;
	}

	private Set<String> mergeSet(Set<String> present, List<String> toAdd, List<String> toAddPath, List<String> toRemove,
			List<String> toRemovePath, String state) {
		Set<String> result = new HashSet<>(present);
		for (String name : toAdd) {
			if (!result.add(name)) {
				addFault(append(toAddPath, name), quote(name) + ", which is already " + state,
						"a name that is not " + state);
			}
		}
		for (String name : toRemove) {
			if (toAdd.contains(name) || !result.remove(name)) {
				addFault(append(toRemovePath, name), quote(name) + ", which is not " + state,
						"one of " + joinNames(present));
			}
		}
		return result;
	}

	private void checkNoEndpointsChanged() {
		for (String name : this.note.changed().endpoints()) {
			addFault(List.of("changed", "endpoints", name), quote(name),
					"endpoints in \"added\" and \"withdrawn\" only");
		}
	}

	private void checkDomainNames() {
		checkDomainNames("out", this.note.domains().out());
		checkDomainNames("back", this.note.domains().back());
	}

	private void checkDomainNames(String section, List<String> names) {
		for (String name : names) {
			if (!this.rules.allowsDomain(name)) {
				addFault(List.of("domains", section, name),
						quote(name) + ", which is not a failure domain of the deployment",
						"one of " + joinNames(this.rules.failureDomains()));
			}
		}
	}

	private void checkMatches(Map<String, ServiceSpecification> services) {
		Map<ServiceMatch, String> owners = new HashMap<>();
		for (String name : new TreeSet<>(services.keySet())) {
			String owner = owners.putIfAbsent(services.get(name).match(), name);
			if (owner != null) {
				String section = this.note.changed().services().containsKey(name) ? "changed" : "added";
				addFault(List.of(section, "services", name, "match"), "the match of service " + quote(owner),
						"a host and path prefix that no other service has");
			}
		}
	}

	private void addFault(List<String> path, String found, String allowed) {
		this.faults.add(new NoteFault(path, found, allowed));
	}

	private static List<String> append(List<String> path, String name) {
		List<String> result = new ArrayList<>(path);
		result.add(name);
		return result;
	}

	private static String joinNames(Set<String> names) {
		return names.isEmpty() ? "(none)" : String.join(", ", new TreeSet<>(names).stream().limit(20).toList());
	}

	private static String quote(String name) {
		return "\"" + name + "\"";
	}

}
