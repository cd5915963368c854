package org.crocuspost.membership;

/**
 * Is told when the members have changed. Must not block.
 */
@FunctionalInterface
public interface MembersListener {

	/**
	 * Called after each change.
	 * @param members who is live now
	 */
	void membersChanged(Members members);

}
