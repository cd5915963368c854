package org.crocuspost.admission;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.Frame;

/**
 * Sends the status of the endpoint to the connected entries.
 */
final class StatusAnnouncer {

	private final Set<Peer> entries = ConcurrentHashMap.newKeySet();

	private final Supplier<AgentStatus> status;

	StatusAnnouncer(Supplier<AgentStatus> status) {
		this.status = status;
	}

	void add(Peer peer) {
		if (peer.identity().role() == PeerIdentity.Role.ENTRY) {
			this.entries.add(peer);
			peer.send(frame());
		}
	}

	void remove(Peer peer) {
		this.entries.remove(peer);
	}

	void announce() {
		Frame frame = frame();
		this.entries.forEach((entry) -> entry.send(frame));
	}

	private Frame frame() {
		return Frame.newBuilder().setAgentStatus(this.status.get()).build();
	}

}
