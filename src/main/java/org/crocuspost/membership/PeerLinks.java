package org.crocuspost.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Timer;

/**
 * Connections of an agent by the process at their other end. A connection that is not
 * wanted any more stays open for a while if it is in use, so that what is in flight
 * finishes, and is not dialed again. Safe for use by several threads.
 */
final class PeerLinks {

	private final Dialer dialer;

	private final Timer timer;

	private final Duration linger;

	private final Map<Target, Cancellable> wanted = new HashMap<>();

	private final Map<Target, Cancellable> lingering = new HashMap<>();

	private final Set<Peer> accepted = new HashSet<>();

	PeerLinks(Dialer dialer, Timer timer, Duration linger) {
		this.dialer = dialer;
		this.timer = timer;
		this.linger = linger;
	}

	/**
	 * Dials new members and lets go of those that are not wanted any more.
	 * @param members all members to be connected to
	 */
	synchronized void want(List<Member> members) {
		Set<Target> targets = members.stream().map(Target::of).collect(Collectors.toSet());
		Set<Target> dropped = new HashSet<>(this.wanted.keySet());
		dropped.removeAll(targets);
		dropped.forEach(this::drop);
		targets.forEach((target) -> this.wanted.computeIfAbsent(target, this::open));
	}

	private Cancellable open(Target target) {
		Cancellable open = this.lingering.remove(target);
		return (open != null) ? open : this.dialer.dial(target.address());
	}

	private void drop(Target target) {
		Cancellable link = this.wanted.remove(target);
		if (this.accepted.stream().noneMatch((peer) -> target.is(peer.identity()))) {
			link.cancel();
			return;
		}
		this.lingering.put(target, link);
		this.timer.schedule(this.linger, () -> closeLingering(target, link));
	}

	private synchronized void closeLingering(Target target, Cancellable link) {
		if (this.lingering.remove(target, link)) {
			link.cancel();
		}
	}

	/**
	 * Takes in a connection if the process at its other end is wanted.
	 * @param peer the connection
	 * @return false if another process answers at the address
	 */
	synchronized boolean accept(Peer peer) {
		boolean expected = this.wanted.keySet().stream().anyMatch((target) -> target.is(peer.identity()));
		return expected && this.accepted.add(peer);
	}

	synchronized boolean accepted(Peer peer) {
		return this.accepted.contains(peer);
	}

	/**
	 * Takes note that a connection has ended.
	 * @param peer the connection
	 * @return false if it had never been accepted
	 */
	synchronized boolean remove(Peer peer) {
		List<Target> ended = this.lingering.keySet().stream().filter((target) -> target.is(peer.identity())).toList();
		ended.forEach((target) -> this.lingering.remove(target).cancel());
		return this.accepted.remove(peer);
	}

	synchronized boolean connectedTo(PeerIdentity.Role role) {
		return this.accepted.stream().anyMatch((peer) -> peer.identity().role() == role);
	}

	synchronized void closeAll() {
		this.wanted.values().forEach(Cancellable::cancel);
		this.lingering.values().forEach(Cancellable::cancel);
		this.wanted.clear();
		this.lingering.clear();
	}

	private record Target(PeerIdentity.Role role, String name, String incarnation, InetSocketAddress address) {

		static Target of(Member member) {
			PeerIdentity identity = member.identity();
			return new Target(identity.role(), identity.name(), identity.incarnation(), member.address());
		}

		boolean is(PeerIdentity identity) {
			return this.role == identity.role() && this.name.equals(identity.name())
					&& this.incarnation.equals(identity.incarnation());
		}

	}

}
