package org.crocuspost.membership;

/**
 * Listener for changes of the members. An implementation must not block.
 */
@FunctionalInterface
public interface MembersListener {

	/**
	 * Called after each change.
	 * @param members the live members after the change
	 */
	void membersChanged(Members members);

}
