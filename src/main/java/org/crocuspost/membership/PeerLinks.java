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
 * Maintains connections to a changing set of target processes. A connection to a process
 * that is no longer a target stays open for the linger time if it is in use, so that
 * requests in flight finish, and is not reopened after it ends. This class is
 * thread-safe.
 */
final class PeerLinks {

	private final Dialer dialer;

	private final Timer timer;

	private final Duration linger;

	private final Map<Target, Cancellable> activeLinks = new HashMap<>();

	private final Map<Target, Cancellable> lingeringLinks = new HashMap<>();

	private final Set<Peer> acceptedPeers = new HashSet<>();

	PeerLinks(Dialer dialer, Timer timer, Duration linger) {
		this.dialer = dialer;
		this.timer = timer;
		this.linger = linger;
	}

	/**
	 * Opens connections to new targets and closes those to members that are no longer
	 * targets, after the linger time if they are in use.
	 * @param members all members to connect to
	 */
	synchronized void setTargets(List<Member> members) {
		Set<Target> targets = members.stream().map(Target::of).collect(Collectors.toSet());
		Set<Target> dropped = new HashSet<>(this.activeLinks.keySet());
		dropped.removeAll(targets);
		dropped.forEach(this::retire);
		targets.forEach((target) -> this.activeLinks.computeIfAbsent(target, this::openLink));
	}

	private Cancellable openLink(Target target) {
		Cancellable existing = this.lingeringLinks.remove(target);
		return (existing != null) ? existing : this.dialer.dial(target.address());
	}

	private void retire(Target target) {
		Cancellable link = this.activeLinks.remove(target);
		if (this.acceptedPeers.stream().noneMatch((peer) -> target.matches(peer.identity()))) {
			link.cancel();
			return;
		}
		this.lingeringLinks.put(target, link);
		this.timer.schedule(this.linger, () -> closeLingering(target, link));
	}

	private synchronized void closeLingering(Target target, Cancellable link) {
		if (this.lingeringLinks.remove(target, link)) {
			link.cancel();
		}
	}

	/**
	 * Accepts a connection if the process at its other end is a target.
	 * @param peer the connection
	 * @return false if the process at the other end is not a target, or if the connection
	 * was accepted before
	 */
	synchronized boolean accept(Peer peer) {
		boolean expected = this.activeLinks.keySet().stream().anyMatch((target) -> target.matches(peer.identity()));
		return expected && this.acceptedPeers.add(peer);
	}

	synchronized boolean isAccepted(Peer peer) {
		return this.acceptedPeers.contains(peer);
	}

	/**
	 * Removes a connection that has ended and stops reopening it if it was lingering.
	 * @param peer the connection
	 * @return false if it was never accepted
	 */
	synchronized boolean remove(Peer peer) {
		List<Target> ended = this.lingeringLinks.keySet()
			.stream()
			.filter((target) -> target.matches(peer.identity()))
			.toList();
		ended.forEach((target) -> this.lingeringLinks.remove(target).cancel());
		return this.acceptedPeers.remove(peer);
	}

	synchronized boolean isConnectedTo(PeerIdentity.Role role) {
		return this.acceptedPeers.stream().anyMatch((peer) -> peer.identity().role() == role);
	}

	synchronized void closeAll() {
		this.activeLinks.values().forEach(Cancellable::cancel);
		this.lingeringLinks.values().forEach(Cancellable::cancel);
		this.activeLinks.clear();
		this.lingeringLinks.clear();
	}

	private record Target(PeerIdentity.Role role, String name, String incarnation, InetSocketAddress address) {

		static Target of(Member member) {
			PeerIdentity identity = member.identity();
			return new Target(identity.role(), identity.name(), identity.incarnation(), member.address());
		}

		boolean matches(PeerIdentity identity) {
			return this.role == identity.role() && this.name.equals(identity.name())
					&& this.incarnation.equals(identity.incarnation());
		}

	}

}
