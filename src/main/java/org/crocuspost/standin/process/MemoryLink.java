package org.crocuspost.standin.process;

import java.time.Duration;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Timer;

/**
 * Connection in virtual time between two processes that can delay, drop and duplicate
 * frames.
 */
public final class MemoryLink {

	private final Timer timer;

	private final MemoryPeer first;

	private final MemoryPeer second;

	private Duration delay;

	private boolean droppingFrames;

	private boolean duplicating;

	/**
	 * Connects two ends and notifies their listeners.
	 * @param timer the timer of the virtual time
	 * @param delay the delivery time of a frame
	 * @param one one end
	 * @param other the other end
	 */
	public MemoryLink(Timer timer, Duration delay, End one, End other) {
		this.timer = timer;
		this.delay = delay;
		this.first = new MemoryPeer(this, one, other.identity(), timer);
		this.second = new MemoryPeer(this, other, one.identity(), timer);
		this.first.connect(this.second);
		this.second.connect(this.first);
		one.process().run(() -> one.listener().connected(this.first));
		other.process().run(() -> other.listener().connected(this.second));
	}

	/**
	 * Sets whether the link drops every frame in both directions. It stays open.
	 * @param value whether frames are dropped
	 */
	public void dropFrames(boolean value) {
		this.droppingFrames = value;
	}

	/**
	 * Sets whether the link delivers every frame twice.
	 * @param value whether frames are duplicated
	 */
	public void duplicateFrames(boolean value) {
		this.duplicating = value;
	}

	/**
	 * Sets the delay of frames that are sent from now on.
	 * @param value the delivery time of a frame
	 */
	public void delay(Duration value) {
		this.delay = value;
	}

	/**
	 * Closes both ends and notifies their listeners.
	 */
	public void close() {
		this.first.close();
		this.second.close();
	}

	/**
	 * Returns the peer through which the first end sends frames.
	 * @return the peer of the first end
	 */
	public Peer firstPeer() {
		return this.first;
	}

	void transmit(Runnable delivery) {
		if (this.droppingFrames) {
			return;
		}
		this.timer.schedule(this.delay, delivery);
		if (this.duplicating) {
			this.timer.schedule(this.delay.multipliedBy(2), delivery);
		}
	}

	/**
	 * One end of a link.
	 *
	 * @param process the process
	 * @param identity the identity of the process
	 * @param listener the listener that receives the frames and state changes of the link
	 */
	public record End(VirtualProcess process, PeerIdentity identity, PeerListener listener) {
	}

}
