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
 * In-memory connection between an agent and an entry. Frames are delivered only when the
 * test calls {@link #deliverAll()}.
 */
final class PeerPair {

	private final PeerEnd agentEnd;

	private final PeerEnd entryEnd;

	PeerPair(String agent, String domain, PeerListener agentListener, String entry, PeerListener entryListener) {
		this.agentEnd = new PeerEnd(new PeerIdentity(PeerIdentity.Role.ENTRY, entry, "1", domain), entryListener);
		this.entryEnd = new PeerEnd(new PeerIdentity(PeerIdentity.Role.AGENT, agent, "1", domain), agentListener);
		this.agentEnd.otherEnd = this.entryEnd;
		this.entryEnd.otherEnd = this.agentEnd;
		this.entryEnd.remoteListener().connected(this.agentEnd);
		this.agentEnd.remoteListener().connected(this.entryEnd);
	}

	/**
	 * Delivers frames in both directions until none is left.
	 */
	void deliverAll() {
		while (this.agentEnd.deliver() | this.entryEnd.deliver()) {
			continue;
		}
	}

	/**
	 * Drops all frames in transit and closes the connection at both ends.
	 */
	void disconnect() {
		this.agentEnd.frames.clear();
		this.entryEnd.frames.clear();
		this.entryEnd.remoteListener().disconnected(this.agentEnd);
		this.agentEnd.remoteListener().disconnected(this.entryEnd);
	}

	void sendToAgent(Frame frame) {
		this.entryEnd.send(frame);
	}

	long bytesToAgent() {
		return this.entryEnd.bytes;
	}

	private static final class PeerEnd implements Peer {

		private final PeerIdentity identity;

		private final PeerListener remoteListener;

		private final Deque<Frame> frames = new ArrayDeque<>();

		private long bytes;

		private PeerEnd otherEnd;

		private PeerEnd(PeerIdentity identity, PeerListener remoteListener) {
			this.identity = identity;
			this.remoteListener = remoteListener;
		}

		private PeerListener remoteListener() {
			return this.remoteListener;
		}

		private boolean deliver() {
			Frame frame = this.frames.poll();
			if (frame != null) {
				this.remoteListener.received(this.otherEnd, frame);
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
