package org.crocuspost.peer;

import java.util.List;

import org.crocuspost.wire.Frame;

/**
 * Forwards each event to several listeners, each of which ignores the frames that it does
 * not handle.
 */
public final class CompositePeerListener implements PeerListener {

	private final List<PeerListener> listeners;

	/**
	 * Creates a composite.
	 * @param listeners the listeners in the order in which they are called
	 */
	public CompositePeerListener(List<? extends PeerListener> listeners) {
		this.listeners = List.copyOf(listeners);
	}

	@Override
	public void connected(Peer peer) {
		this.listeners.forEach((listener) -> listener.connected(peer));
	}

	@Override
	public void received(Peer peer, Frame frame) {
		this.listeners.forEach((listener) -> listener.received(peer, frame));
	}

	@Override
	public void disconnected(Peer peer) {
		this.listeners.forEach((listener) -> listener.disconnected(peer));
	}

}
