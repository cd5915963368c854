package org.crocuspost.bench.distribution;

import java.util.concurrent.atomic.LongAdder;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.Ping;
import org.crocuspost.wire.Pong;

/**
 * Counts the frames that a listener receives and their bytes. Pings are never passed to a
 * listener; their share is calculated from their size and interval.
 */
final class TrafficMeter implements PeerListener {

	/**
	 * Size in bytes of the length field before each frame.
	 */
	static final int LENGTH_BYTES = 4;

	/**
	 * Size in bytes of the IP and TCP headers of a segment, with TCP timestamps.
	 */
	static final int HEADER_BYTES = 52;

	private static final int TYPICAL_SEQUENCE = 100_000;

	private final PeerListener delegate;

	private final LongAdder frames = new LongAdder();

	private final LongAdder bytes = new LongAdder();

	TrafficMeter(PeerListener target) {
		this.delegate = target;
	}

	long frames() {
		return this.frames.sum();
	}

	long bytes() {
		return this.bytes.sum();
	}

	/**
	 * Returns the size of a ping and its pong.
	 * @return the size in bytes, including the length field of each frame
	 */
	static int pingAndPongBytes() {
		Frame ping = Frame.newBuilder().setPing(Ping.newBuilder().setSequence(TYPICAL_SEQUENCE)).build();
		Frame pong = Frame.newBuilder().setPong(Pong.newBuilder().setSequence(TYPICAL_SEQUENCE)).build();
		return ping.getSerializedSize() + pong.getSerializedSize() + 2 * LENGTH_BYTES;
	}

	@Override
	public void connected(Peer peer) {
		this.delegate.connected(peer);
	}

	@Override
	public void received(Peer peer, Frame frame) {
		this.frames.increment();
		this.bytes.add(frame.getSerializedSize() + LENGTH_BYTES);
		this.delegate.received(peer, frame);
	}

	@Override
	public void disconnected(Peer peer) {
		this.delegate.disconnected(peer);
	}

}
