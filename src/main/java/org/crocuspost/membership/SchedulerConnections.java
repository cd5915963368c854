package org.crocuspost.membership;

import java.time.Duration;

import org.crocuspost.time.Timer;

/**
 * Keeps an entry connected to all schedulers, so that it can query them for views.
 */
public final class SchedulerConnections implements MembersListener {

	private final PeerLinks links;

	/**
	 * Creates an instance without connections.
	 * @param dialer opens connections
	 * @param timer schedules the closing of connections to schedulers that are no longer
	 * listed
	 */
	public SchedulerConnections(Dialer dialer, Timer timer) {
		this.links = new PeerLinks(dialer, timer, Duration.ZERO);
	}

	@Override
	public void membersChanged(Members members) {
		this.links.setTargets(members.schedulers());
	}

	/**
	 * Closes all connections.
	 */
	public void stop() {
		this.links.closeAll();
	}

}
