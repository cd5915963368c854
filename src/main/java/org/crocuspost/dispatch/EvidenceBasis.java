package org.crocuspost.dispatch;

import java.util.Locale;

/**
 * The kind of information on which the leader based a decision, or the moment from which
 * it counted a lease.
 */
public enum EvidenceBasis {

	/**
	 * A report of the agent.
	 */
	REPORT,

	/**
	 * The recorded departure of the worker.
	 */
	DEPARTURE,

	/**
	 * The last extension of the lease by this leader.
	 */
	LEASE_EXTENSION,

	/**
	 * The first report of the agent to this leader, or a later one until former leaders
	 * are excluded, which tells from when their extensions count. This leader has not
	 * extended the lease since.
	 */
	FIRST_REPORT,

	/**
	 * The end of the time for which former leaders extend leases. The agent has never
	 * reported to this leader, or its worker may still accept their extensions.
	 */
	FORMER_LEADERS;

	/**
	 * Returns the basis as it appears in logs.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
