package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Supplier;

import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.membership.Addresses;
import org.crocuspost.membership.MemberLease;
import org.crocuspost.membership.MemberRecord;
import org.crocuspost.membership.MembershipSettings;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.table.TableService;

/**
 * Announces an entry or a scheduler in the table.
 */
final class ProcessMembership {

	/**
	 * Renewals that fit into a lease.
	 */
	private static final int RENEWALS_PER_LEASE = 3;

	private final MemberLease lease;

	/**
	 * Creates the announcement; nothing is written yet.
	 * @param self the identity of the process
	 * @param address where agents connect
	 * @param confirmations the configuration that the process and its agents act on
	 * @param settings the times of the membership
	 * @param table the table service
	 * @param context the threads and the time of the process
	 */
	ProcessMembership(PeerIdentity self, InetSocketAddress address, Supplier<ConfirmationSummary> confirmations,
			MembershipSettings settings, TableService table, ProcessContext context) {
		MemberRecord first = new MemberRecord(self, Addresses.format(address), 0, false, ConfirmationSummary.NONE);
		this.lease = new MemberLease(first, settings, table, confirmations, context.clock(),
				context.blockingTimer("member-lease"));
	}

	/**
	 * Makes the times of the membership.
	 * @param lease how long a process that does not renew its row counts as live
	 * @param poll the time between two polls of the rows
	 * @return the times
	 */
	static MembershipSettings times(Duration lease, Duration poll) {
		MembershipSettings defaults = MembershipSettings.DEFAULT;
		return new MembershipSettings(lease.dividedBy(RENEWALS_PER_LEASE), defaults.minimumWriteInterval(), lease, poll,
				defaults.rowRetention());
	}

	void start() {
		this.lease.start();
	}

	void changed() {
		this.lease.confirmationsChanged();
	}

	boolean held() {
		return this.lease.held();
	}

	void stop() {
		this.lease.stop();
	}

}
