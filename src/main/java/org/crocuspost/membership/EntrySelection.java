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
 * Chooses the entries to which an agent connects: a bounded subset that is spread over
 * failure domains, even over all agents, and that changes little when entries come and
 * go.
 *
 * <p>
 * Each agent ranks all entries by a hash of both names (rendezvous hashing) and takes the
 * best, at first one of each failure domain. Example: an agent that wants two of the
 * entries a1, a2 and b1 and ranks them a1, a2, b1 takes a1 and b1. When a1 leaves, it
 * takes a2 in its place and keeps b1. Taking entries by the position of the agent in a
 * sorted list is more even, but every agent moves when one entry leaves.
 */
public final class EntrySelection {

	private static final HashFunction HASH = Hashing.murmur3_128(0x63726f63);

	private final String agent;

	private final int count;

	/**
	 * Creates the selection of one agent.
	 * @param agent the name of the agent
	 * @param count the most entries to choose
	 */
	public EntrySelection(String agent, int count) {
		this.agent = agent;
		this.count = count;
	}

	/**
	 * Chooses entries.
	 * @param entries the live entries
	 * @return at most {@code count} of them, best first
	 */
	public List<Member> select(List<Member> entries) {
		List<Member> ranked = entries.stream()
			.sorted(Comparator.comparingLong(this::rank).thenComparing((member) -> member.identity().name()))
			.toList();
		List<Member> selected = new ArrayList<>();
		while (selected.size() < Math.min(this.count, ranked.size())) {
			addOneOfEachDomain(ranked, selected);
		}
		return List.copyOf(selected);
	}

	private void addOneOfEachDomain(List<Member> ranked, List<Member> selected) {
		Set<String> domains = new HashSet<>();
		for (Member member : ranked) {
			if (selected.size() < this.count && !selected.contains(member)
					&& domains.add(member.identity().failureDomain())) {
				selected.add(member);
			}
		}
	}

	private long rank(Member member) {
		return HASH.newHasher()
			.putString(this.agent, StandardCharsets.UTF_8)
			.putByte((byte) 0)
			.putString(member.identity().name(), StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

}
