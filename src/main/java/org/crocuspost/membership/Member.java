package org.crocuspost.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.crocuspost.peer.PeerIdentity;

/**
 * A live entry or scheduler to which other processes may connect.
 *
 * @param identity the identity of the process
 * @param address the address at which it accepts connections of other processes
 */
public record Member(PeerIdentity identity, InetSocketAddress address) {

	public Member {
		Objects.requireNonNull(identity, "identity");
		Objects.requireNonNull(address, "address");
	}

}
