package org.crocuspost.standin.process;

import java.time.Duration;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Timer;

/**
 * A connection in virtual time between two processes, with delay, loss and duplication.
 */
public final class MemoryLink {

	private final Timer timer;

	private final MemoryPeer first;

	private final MemoryPeer second;

	private Duration delay;

	private boolean silent;

	private boolean duplicating;

	/**
	 * Connects two ends and tells their listeners.
	 * @param timer the timer of the virtual time
	 * @param delay the time that a frame takes
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
	 * Makes the link drop every frame in both directions without closing, or ends that.
	 * @param value whether frames are dropped
	 */
	public void silent(boolean value) {
		this.silent = value;
	}

	/**
	 * Makes the link deliver every frame twice.
	 * @param value whether frames are duplicated
	 */
	public void duplicating(boolean value) {
		this.duplicating = value;
	}

	/**
	 * Sets the delay of frames that are sent from now on.
	 * @param value the time that a frame takes
	 */
	public void delay(Duration value) {
		this.delay = value;
	}

	/**
	 * Closes both ends and tells their listeners.
	 */
	public void close() {
		this.first.close();
		this.second.close();
	}

	/**
	 * Returns the peer that one end sees.
	 * @return the peer of the end that was given first
	 */
	public Peer firstPeer() {
		return this.first;
	}

	void carry(Runnable delivery) {
		if (this.silent) {
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
	 * @param identity who the process is
	 * @param listener is told of the link's frames
	 */
	public record End(VirtualProcess process, PeerIdentity identity, PeerListener listener) {
	}

}
