package org.crocuspost.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Selects the entries to which an agent connects: a bounded subset that is spread over
 * failure domains, balanced over all agents, and that changes little when entries join
 * and leave.
 *
 * <p>
 * Each agent ranks all entries by a hash of both names (rendezvous hashing) and selects
 * the highest ranked, at first one of each failure domain. Example: an agent that selects
 * two of the entries a1, a2 and b1 and ranks them a1, a2, b1 selects a1 and b1. When a1
 * leaves, it selects a2 in its place and keeps b1. Selecting entries by the position of
 * the agent in a sorted list would be more balanced, but every agent would move its
 * connections when one entry leaves.
 */
public final class EntrySelection {

	private static final HashFunction HASH = Hashing.murmur3_128(0x63726f63);

	private final String rankingKey;

	private final int maximumEntries;

	/**
	 * Creates the selection of one agent.
	 * @param rankingKey the key by which entries are ranked, usually the name of the
	 * agent
	 * @param maximumEntries the maximum number of entries to select
	 */
	public EntrySelection(String rankingKey, int maximumEntries) {
		this.rankingKey = rankingKey;
		this.maximumEntries = maximumEntries;
	}

	/**
	 * Selects entries.
	 * @param entries the live entries
	 * @return the selected entries, highest ranked first
	 */
	public List<Member> select(List<Member> entries) {
		List<Member> ranked = entries.stream()
			.sorted(Comparator.comparingLong(this::rank).thenComparing((member) -> member.identity().name()))
			.toList();
		List<Member> selected = new ArrayList<>();
		while (selected.size() < Math.min(this.maximumEntries, ranked.size())) {
			addOneOfEachDomain(ranked, selected);
		}
		return List.copyOf(selected);
	}

	private void addOneOfEachDomain(List<Member> ranked, List<Member> selected) {
		Set<String> domains = new HashSet<>();
		for (Member member : ranked) {
			if (selected.size() < this.maximumEntries && !selected.contains(member)
					&& domains.add(member.identity().failureDomain())) {
				selected.add(member);
			}
		}
	}

	private long rank(Member member) {
		return HASH.newHasher()
			.putString(this.rankingKey, StandardCharsets.UTF_8)
			.putByte((byte) 0)
			.putString(member.identity().name(), StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

}
