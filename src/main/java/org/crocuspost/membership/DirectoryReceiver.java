package org.crocuspost.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.Directory;
import org.crocuspost.wire.Frame;

/**
 * Merges the directories that an agent receives. Several entries send them, and an entry
 * that cannot reach the table sends outdated ones. Each directory therefore carries its
 * age, and the list of entries that was most recently read from the table is used. The
 * scheduler of the failure domain is the one with the highest epoch.
 */
public final class DirectoryReceiver implements PeerListener {

	private final String failureDomain;

	private final Clock clock;

	private final AgentViewListener listener;

	private AgentView view = AgentView.NONE;

	private long readAtNanos;

	/**
	 * Creates the receiver.
	 * @param failureDomain the failure domain of the agent
	 * @param clock the clock
	 * @param listener receives the view after each directory
	 */
	public DirectoryReceiver(String failureDomain, Clock clock, AgentViewListener listener) {
		this.failureDomain = failureDomain;
		this.clock = clock;
		this.listener = listener;
	}

	@Override
	public void connected(Peer peer) {
		// The entry sends the first directory.
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasDirectory() && peer.identity().role() == PeerIdentity.Role.ENTRY) {
			this.listener.viewChanged(merge(frame.getDirectory()));
		}
	}

	@Override
	public void disconnected(Peer peer) {
		// The view remains valid.
	}

	private synchronized AgentView merge(Directory directory) {
		List<Member> entries = DirectoryMessages.entries(directory);
		long readAt = this.clock.nanoTime() - Duration.ofMillis(directory.getAgeMilliseconds()).toNanos();
		boolean newer = this.view.entries().isEmpty() || readAt >= this.readAtNanos;
		boolean replaces = newer && !entries.isEmpty();
		if (replaces) {
			this.readAtNanos = readAt;
		}
		Optional<ShardHolderMember> holder = holderWithHigherEpoch(
				DirectoryMessages.shardHolder(directory, this.failureDomain), replaces);
		this.view = new AgentView(replaces ? entries : this.view.entries(), holder);
		return this.view;
	}

	private Optional<ShardHolderMember> holderWithHigherEpoch(Optional<ShardHolderMember> received, boolean newer) {
		Optional<ShardHolderMember> known = this.view.shardHolder();
		if (received.isEmpty() || known.isEmpty()) {
			return received.or(() -> known);
		}
		long difference = received.get().epoch() - known.get().epoch();
		return (difference > 0 || (difference == 0 && newer)) ? received : known;
	}

}
