package org.crocuspost.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.crocuspost.peer.PeerIdentity;

/**
 * A live process that others may connect to.
 *
 * @param identity who the process is
 * @param address where it listens for connections between processes
 */
public record Member(PeerIdentity identity, InetSocketAddress address) {

	public Member {
		Objects.requireNonNull(identity, "identity");
		Objects.requireNonNull(address, "address");
	}

}
