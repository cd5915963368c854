package org.crocuspost.membership;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.wire.Frame;

/**
 * Tells the agents of an entry who is live: on connecting and after each change. Each
 * agent hears of all entries and of the scheduler of its own failure domain.
 */
public final class DirectoryPublisher implements PeerListener, MembersListener {

	private final MemberDirectory directory;

	private final Set<Peer> agents = ConcurrentHashMap.newKeySet();

	/**
	 * Creates the publisher and adds it to the directory's listeners.
	 * @param directory knows who is live
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
		// Agents do not answer.
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
