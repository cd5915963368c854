package org.crocuspost.membership;

import java.time.Duration;

import org.crocuspost.time.Timer;

/**
 * Keeps an entry connected to all schedulers, so that it can ask them for views.
 */
public final class SchedulerConnections implements MembersListener {

	private final PeerLinks links;

	/**
	 * Creates the connections; nothing is dialed yet.
	 * @param dialer opens connections
	 * @param timer closes those that are not wanted any more
	 */
	public SchedulerConnections(Dialer dialer, Timer timer) {
		this.links = new PeerLinks(dialer, timer, Duration.ZERO);
	}

	@Override
	public void membersChanged(Members members) {
		this.links.want(members.schedulers());
	}

	/**
	 * Closes all connections.
	 */
	public void stop() {
		this.links.closeAll();
	}

}
