package org.crocuspost.release;

import java.util.List;

/**
 * Lists the failure domains that a release note takes out of service or returns to
 * service.
 *
 * @param out the failure domains taken out of service, in which no work is started any
 * more
 * @param back the failure domains returned to service
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
	 * Returns whether no failure domain changes.
	 * @return true if both lists are empty
	 */
	boolean isEmpty() {
		return this.out.isEmpty() && this.back.isEmpty();
	}

}
