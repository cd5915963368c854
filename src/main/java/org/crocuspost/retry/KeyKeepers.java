package org.crocuspost.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import com.google.common.hash.Hashing;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.routing.EndpointDirectory;

/**
 * Finds the agents that keep an idempotency key, by rendezvous hashing: each agent gets a
 * score from the key and its name, and the agents with the highest scores keep the key,
 * in two failure domains if there are two. Entries that know the same agents find the
 * same keepers without asking each other, and when an agent leaves only its own keys
 * move.
 * <p>
 * A key is in doubt if all the agents that would have kept it left a short time ago: an
 * earlier request may have used it, and nobody is left who knows. A plain hash ring over
 * the agents of the moment would not notice and let the request run again.
 */
public final class KeyKeepers {

	private static final int COPIES = 2;

	private final EndpointDirectory directory;

	private final Duration memory;

	/**
	 * Creates the finder.
	 * @param directory the agents
	 * @param memory how long agents keep a key
	 */
	public KeyKeepers(EndpointDirectory directory, Duration memory) {
		this.directory = directory;
		this.memory = memory;
	}

	/**
	 * Returns the agents that keep a key.
	 * @param service the service
	 * @param key the key
	 * @return connections to at most two agents
	 */
	public List<Peer> find(String service, String key) {
		List<Peer> agents = this.directory.agents(service);
		List<PeerIdentity> chosen = choose(agents.stream().map(Peer::identity).toList(), service, key);
		return agents.stream().filter((peer) -> chosen.contains(peer.identity())).toList();
	}

	/**
	 * Says whether all knowledge of a key may have been lost.
	 * @param service the service
	 * @param key the key
	 * @return true if all its former keepers have left
	 */
	public boolean inDoubt(String service, String key) {
		List<PeerIdentity> departed = this.directory.departedAgents(service, this.memory);
		if (departed.isEmpty()) {
			return false;
		}
		Stream<PeerIdentity> present = this.directory.agents(service).stream().map(Peer::identity);
		List<PeerIdentity> former = choose(Stream.concat(departed.stream(), present).toList(), service, key);
		return departed.containsAll(former);
	}

	private static List<PeerIdentity> choose(List<PeerIdentity> agents, String service, String key) {
		List<PeerIdentity> ranked = agents.stream()
			.sorted(Comparator.comparingLong((PeerIdentity agent) -> score(agent, service, key)).reversed())
			.toList();
		List<PeerIdentity> chosen = new ArrayList<>();
		Set<String> domains = new HashSet<>();
		for (PeerIdentity agent : ranked) {
			if (chosen.size() < COPIES && domains.add(agent.failureDomain())) {
				chosen.add(agent);
			}
		}
		for (PeerIdentity agent : ranked) {
			if (chosen.size() < COPIES && !chosen.contains(agent)) {
				chosen.add(agent);
			}
		}
		return chosen;
	}

	private static long score(PeerIdentity agent, String service, String key) {
		return Hashing.murmur3_128()
			.newHasher()
			.putUnencodedChars(agent.name())
			.putChar('\n')
			.putUnencodedChars(service)
			.putChar('\n')
			.putUnencodedChars(key)
			.hash()
			.asLong();
	}

}
