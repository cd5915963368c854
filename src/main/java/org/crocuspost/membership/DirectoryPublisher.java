package org.crocuspost.membership;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.wire.Frame;

/**
 * Sends the live members to the agents that are connected to an entry: when an agent
 * connects and after each change. Each agent receives all entries and the scheduler of
 * its own failure domain.
 */
public final class DirectoryPublisher implements PeerListener, MembersListener {

	private final MemberDirectory directory;

	private final Set<Peer> agents = ConcurrentHashMap.newKeySet();

	/**
	 * Creates the publisher and adds it to the directory's listeners.
	 * @param directory the directory of live members
	 */
	public DirectoryPublisher(MemberDirectory directory) {
		this.directory = directory;
		directory.addListener(this);
	}

	@Override
	public void connected(Peer peer) {
		if (peer.identity().role() == PeerIdentity.Role.AGENT) {
			this.agents.add(peer);
			send(peer, this.directory.members());
		}
	}

	@Override
	public void received(Peer peer, Frame frame) {
		// Agents send no answer to a directory.
	}

	@Override
	public void disconnected(Peer peer) {
		this.agents.remove(peer);
	}

	@Override
	public void membersChanged(Members members) {
		this.agents.forEach((agent) -> send(agent, members));
	}

	private void send(Peer agent, Members members) {
		Duration age = this.directory.age().orElse(Duration.ZERO);
		if (!members.entries().isEmpty()) {
			agent.send(Frame.newBuilder()
				.setDirectory(DirectoryMessages.encode(members, agent.identity().failureDomain(), age))
				.build());
		}
	}

}
