package org.crocuspost.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EntrySelectionTests {

	private static final int AGENTS = 860;

	@ParameterizedTest
	@CsvSource({ "1, 4", "3, 4", "6, 4", "12, 4", "21, 4" })
	void selectionIsBoundedBalancedAndSpreadOverFailureDomains(int entryCount, int maximumEntries) {
		List<Member> entries = entries(entryCount);
		Map<Member, Integer> load = new HashMap<>();
		for (int agent = 0; agent < AGENTS; agent++) {
			List<Member> selected = new EntrySelection("agent-" + agent, maximumEntries).select(entries);
			assertThat(selected).doesNotHaveDuplicates().hasSize(Math.min(maximumEntries, entryCount));
			assertThat(selected.stream().map((member) -> member.identity().failureDomain()).distinct())
				.hasSize(Math.min(3, entryCount));
			selected.forEach((member) -> load.merge(member, 1, Integer::sum));
		}
		double mean = (double) AGENTS * Math.min(maximumEntries, entryCount) / entryCount;
		assertThat(load).hasSize(entryCount);
		assertThat(load.values()).allSatisfy((count) -> assertThat(count / mean).isBetween(0.75, 1.25));
	}

	@Test
	void fewConnectionsMoveWhenAnEntryLeavesOrReturns() {
		List<Member> all = entries(12);
		List<Member> remaining = new ArrayList<>(all);
		Member departed = remaining.remove(5);
		int moved = 0;
		int lost = 0;
		for (int agent = 0; agent < AGENTS; agent++) {
			EntrySelection selection = new EntrySelection("agent-" + agent, 4);
			Set<Member> before = new HashSet<>(selection.select(all));
			Set<Member> after = new HashSet<>(selection.select(remaining));
			lost += before.contains(departed) ? 1 : 0;
			before.removeAll(after);
			moved += before.size();
		}
		assertThat(moved).isBetween(lost, lost + AGENTS / 10);
	}

	@Test
	void selectionDoesNotDependOnTheOrderOfEntries() {
		List<Member> entries = entries(6);
		List<Member> reversed = new ArrayList<>(entries);
		java.util.Collections.reverse(reversed);
		EntrySelection selection = new EntrySelection("agent-1", 4);
		assertThat(selection.select(reversed)).isEqualTo(selection.select(entries));
	}

	private static List<Member> entries(int count) {
		List<Member> entries = new ArrayList<>();
		for (int entry = 0; entry < count; entry++) {
			entries.add(MembershipFixture.member(
					MembershipFixture.entry("entry-" + entry, "i" + entry, "domain-" + entry % 3),
					"10.0.0." + (entry + 1) + ":7400"));
		}
		return entries;
	}

}
