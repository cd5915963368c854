package org.crocuspost.membership;

import org.crocuspost.log.LogEvent;

/**
 * Events of membership.
 */
public enum MembershipEvent implements LogEvent {

	/**
	 * This process is in the table.
	 */
	MEMBER_JOINED,

	/**
	 * Another process with the same role and name has taken the row; this one does not
	 * renew it any more.
	 */
	MEMBER_SUPERSEDED,

	/**
	 * The own row could not be written.
	 */
	MEMBER_RENEWAL_FAILED,

	/**
	 * The own row is written again.
	 */
	MEMBER_RENEWAL_RECOVERED,

	/**
	 * Another process has become live.
	 */
	MEMBER_APPEARED,

	/**
	 * Another process is not live any more or leaves.
	 */
	MEMBER_DISAPPEARED,

	/**
	 * The process that answers at an address is not the one that is listed there.
	 */
	PEER_UNEXPECTED,

	/**
	 * An agent without connection reads the table to find entries.
	 */
	ENTRIES_SOUGHT

}
