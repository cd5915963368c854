package org.crocuspost.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.crocuspost.configuration.Configuration;

/**
 * Lists the differences between two configurations.
 *
 * @param from the version of the earlier configuration
 * @param to the version of the later configuration
 * @param changes the changes, ordered by section and name
 */
public record ConfigurationDifference(long from, long to, List<Change> changes) {

	public ConfigurationDifference {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares two configurations.
	 * @param earlier the earlier configuration
	 * @param later the later configuration
	 * @return the differences
	 */
	public static ConfigurationDifference between(Configuration earlier, Configuration later) {
		List<Change> changes = new ArrayList<>();
		compare(Section.SERVICE, earlier.services(), later.services(), changes);
		compare(Section.JOB, earlier.jobs(), later.jobs(), changes);
		compare(Section.QUOTA, earlier.quotas(), later.quotas(), changes);
		compare(earlier.endpointsWithdrawn(), later.endpointsWithdrawn(), Section.ENDPOINT, changes);
		compare(earlier.domainsOut(), later.domainsOut(), Section.FAILURE_DOMAIN, changes);
		return new ConfigurationDifference(earlier.version(), later.version(), changes);
	}

	private static <T> void compare(Section section, Map<String, T> earlier, Map<String, T> later,
			List<Change> changes) {
		Set<String> names = new TreeSet<>(earlier.keySet());
		names.addAll(later.keySet());
		for (String name : names) {
			T before = earlier.get(name);
			T after = later.get(name);
			if (before == null) {
				changes.add(new Change(Kind.ADDED, section, name, String.valueOf(after)));
			}
			else if (after == null) {
				changes.add(new Change(Kind.WITHDRAWN, section, name, ""));
			}
			else if (!before.equals(after)) {
				changes.add(new Change(Kind.CHANGED, section, name, before + " -> " + after));
			}
		}
	}

	private static void compare(Set<String> earlier, Set<String> later, Section section, List<Change> changes) {
		for (String name : new TreeSet<>(later)) {
			if (!earlier.contains(name)) {
				changes.add(new Change(Kind.WITHDRAWN, section, name, ""));
			}
		}
		for (String name : new TreeSet<>(earlier)) {
			if (!later.contains(name)) {
				changes.add(new Change(Kind.ADDED, section, name, ""));
			}
		}
	}

	/**
	 * Classifies a change.
	 */
	public enum Kind {

		/**
		 * Added, or used again after it was withdrawn or taken out of service.
		 */
		ADDED,

		/**
		 * Declared with other values.
		 */
		CHANGED,

		/**
		 * Withdrawn, or taken out of service.
		 */
		WITHDRAWN

	}

	/**
	 * Names the section of the configuration to which a change belongs.
	 */
	public enum Section {

		/**
		 * A service.
		 */
		SERVICE,

		/**
		 * A batch job.
		 */
		JOB,

		/**
		 * A team's quota.
		 */
		QUOTA,

		/**
		 * An endpoint.
		 */
		ENDPOINT,

		/**
		 * A failure domain.
		 */
		FAILURE_DOMAIN

	}

	/**
	 * Describes one change.
	 *
	 * @param kind the kind
	 * @param section the section
	 * @param name the name of the item
	 * @param detail the new declaration; for a changed item, the earlier and the new one;
	 * may be empty
	 */
	public record Change(Kind kind, Section section, String name, String detail) {
	}

}
