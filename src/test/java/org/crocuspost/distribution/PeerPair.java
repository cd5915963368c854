package org.crocuspost.distribution;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.wire.Frame;

/**
 * Connection between an agent and an entry in memory. Frames are delivered when the test
 * says so.
 */
final class PeerPair {

	private final End atAgent;

	private final End atEntry;

	PeerPair(String agent, String domain, PeerListener agentListener, String entry, PeerListener entryListener) {
		this.atAgent = new End(new PeerIdentity(PeerIdentity.Role.ENTRY, entry, "1", domain), entryListener);
		this.atEntry = new End(new PeerIdentity(PeerIdentity.Role.AGENT, agent, "1", domain), agentListener);
		this.atAgent.other = this.atEntry;
		this.atEntry.other = this.atAgent;
		this.atEntry.receiver().connected(this.atAgent);
		this.atAgent.receiver().connected(this.atEntry);
	}

	/**
	 * Delivers frames in both directions until none is left.
	 */
	void deliverAll() {
		while (this.atAgent.deliver() | this.atEntry.deliver()) {
			continue;
		}
	}

	/**
	 * Loses all frames under way and closes the connection at both ends.
	 */
	void cut() {
		this.atAgent.frames.clear();
		this.atEntry.frames.clear();
		this.atEntry.receiver().disconnected(this.atAgent);
		this.atAgent.receiver().disconnected(this.atEntry);
	}

	void sendToAgent(Frame frame) {
		this.atEntry.send(frame);
	}

	long bytesToAgent() {
		return this.atEntry.bytes;
	}

	private static final class End implements Peer {

		private final PeerIdentity identity;

		private final PeerListener receiver;

		private final Deque<Frame> frames = new ArrayDeque<>();

		private long bytes;

		private End other;

		private End(PeerIdentity identity, PeerListener receiver) {
			this.identity = identity;
			this.receiver = receiver;
		}

		private PeerListener receiver() {
			return this.receiver;
		}

		private boolean deliver() {
			Frame frame = this.frames.poll();
			if (frame != null) {
				this.receiver.received(this.other, frame);
			}
			return frame != null;
		}

		@Override
		public PeerIdentity identity() {
			return this.identity;
		}

		@Override
		public void send(Frame frame) {
			this.frames.add(frame);
			this.bytes += frame.getSerializedSize();
		}

		@Override
		public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean open() {
			return true;
		}

		@Override
		public void close() {
			throw new UnsupportedOperationException();
		}

	}

}
