package org.crocuspost.bench.policy;

import java.util.Locale;

/**
 * Writes a report as a plain-text table.
 */
final class PolicyTable {

	private static final String ROW = "%-18s %14s %14s %14s %16s %14s %14s %17s %6s%n";

	private PolicyTable() {
	}

	static String write(PolicyReport report) {
		StringBuilder text = new StringBuilder();
		text.append(String.format(Locale.ROOT, "deployment %s, %s scenarios, %d seeds, %d runs%n", report.deployment(),
				report.heldOut() ? "held-out" : "development", report.seeds(), report.runs().size()));
		text.append(String.format(Locale.ROOT, ROW, "policy", "tail/peak", "tail/all", "throughput", "evictions",
				"domain work", "merit", "learned ahead by", "broken"));
		for (PolicySummary policy : report.policies()) {
			text.append(String.format(Locale.ROOT, ROW, policy.policy(), cell(policy.tail()), cell(policy.wholeTail()),
					cell(policy.throughput()), cell(policy.evictions()), cell(policy.domainWork()),
					cell(policy.merit()), cell(policy.meritBehindLearned()), policy.violations()));
		}
		return text.toString();
	}

	private static String cell(ConfidenceInterval interval) {
		int digits = (interval.mean() >= 100) ? 0 : 3;
		return String.format(Locale.ROOT, "%." + digits + "f ±%." + digits + "f", interval.mean(),
				interval.halfWidth());
	}

}
