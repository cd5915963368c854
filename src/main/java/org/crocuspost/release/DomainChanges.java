package org.crocuspost.release;

import java.util.List;

/**
 * Failure domains that a release note takes out or back.
 *
 * @param out failure domains in which nothing starts any more
 * @param back failure domains that are used again
 */
public record DomainChanges(List<String> out, List<String> back) {

	/**
	 * No change.
	 */
	public static final DomainChanges NONE = new DomainChanges(List.of(), List.of());

	public DomainChanges {
		out = List.copyOf(out);
		back = List.copyOf(back);
	}

	/**
	 * Says whether no failure domain changes.
	 * @return true if both parts are empty
	 */
	boolean isEmpty() {
		return this.out.isEmpty() && this.back.isEmpty();
	}

}
