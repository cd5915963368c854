package org.crocuspost.daemon;

import java.net.InetSocketAddress;
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

	private final MemberLease lease;

	/**
	 * Creates the announcement; nothing is written yet.
	 * @param self the identity of the process
	 * @param address where agents connect
	 * @param confirmations the configuration that the process and its agents act on
	 * @param table the table service
	 * @param context the threads and the time of the process
	 */
	ProcessMembership(PeerIdentity self, InetSocketAddress address, Supplier<ConfirmationSummary> confirmations,
			TableService table, ProcessContext context) {
		MemberRecord first = new MemberRecord(self, Addresses.format(address), 0, false, ConfirmationSummary.NONE);
		this.lease = new MemberLease(first, MembershipSettings.DEFAULT, table, confirmations, context.clock(),
				context.blockingTimer("member-lease"));
	}

	void start() {
		this.lease.start();
	}

	void changed() {
		this.lease.changed();
	}

	boolean held() {
		return this.lease.held();
	}

	void stop() {
		this.lease.stop();
	}

}
