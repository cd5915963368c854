package org.crocuspost.membership;

import org.crocuspost.log.LogEvent;

/**
 * Log events of membership.
 */
public enum MembershipEvent implements LogEvent {

	/**
	 * The row of this process has been written for the first time.
	 */
	MEMBER_JOINED,

	/**
	 * Another process with the same role and name has taken over the row; this process no
	 * longer renews it.
	 */
	MEMBER_SUPERSEDED,

	/**
	 * The row of this process could not be read or written.
	 */
	MEMBER_RENEWAL_FAILED,

	/**
	 * The row of this process is written again after a failure.
	 */
	MEMBER_RENEWAL_RECOVERED,

	/**
	 * Another process has become live.
	 */
	MEMBER_APPEARED,

	/**
	 * Another process is no longer live or is leaving.
	 */
	MEMBER_DISAPPEARED,

	/**
	 * The process at the other end of a connection is not the one that is listed for the
	 * address.
	 */
	PEER_UNEXPECTED,

	/**
	 * An agent without a connection to an entry reads the table to find entries.
	 */
	ENTRIES_SOUGHT,

	/**
	 * A row of the table that another writer left is malformed and is ignored.
	 */
	MEMBER_ROW_IGNORED

}
