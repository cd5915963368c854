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
 * Selects the agents that store an idempotency key, the replicas of the key, by
 * rendezvous hashing. Each agent gets a score from the key and its name, and the agents
 * with the highest scores store the key, in two failure domains if there are two. Entries
 * that are connected to the same agents select the same replicas without communicating,
 * and when an agent departs only the keys that it stored move.
 * <p>
 * If all replicas of a key departed a short time ago, an earlier request may have used
 * the key and no remaining agent has a record of it. A plain hash ring over the agents
 * that are currently connected would not detect this case and would let the request run
 * again.
 */
public final class KeyReplicaLocator {

	private static final int REPLICAS = 2;

	private final EndpointDirectory directory;

	private final Duration retention;

	/**
	 * Creates a locator.
	 * @param directory the directory that lists the agents
	 * @param retention how long agents store a key
	 */
	public KeyReplicaLocator(EndpointDirectory directory, Duration retention) {
		this.directory = directory;
		this.retention = retention;
	}

	/**
	 * Returns the agents that store a key.
	 * @param service the service
	 * @param key the key
	 * @return connections to the replicas, at most two
	 */
	public List<Peer> find(String service, String key) {
		List<Peer> agents = this.directory.agents(service);
		List<PeerIdentity> selected = selectReplicas(agents.stream().map(Peer::identity).toList(), service, key);
		return agents.stream().filter((peer) -> selected.contains(peer.identity())).toList();
	}

	/**
	 * Returns whether all agents that may have stored a key have departed within the
	 * retention time of keys.
	 * @param service the service
	 * @param key the key
	 * @return true if all former replicas of the key have departed
	 */
	public boolean allReplicasDeparted(String service, String key) {
		List<PeerIdentity> departed = this.directory.departedAgents(service, this.retention);
		if (departed.isEmpty()) {
			return false;
		}
		Stream<PeerIdentity> present = this.directory.agents(service).stream().map(Peer::identity);
		List<PeerIdentity> formerReplicas = selectReplicas(Stream.concat(departed.stream(), present).toList(), service,
				key);
		return departed.containsAll(formerReplicas);
	}

	private static List<PeerIdentity> selectReplicas(List<PeerIdentity> agents, String service, String key) {
		List<PeerIdentity> ranked = agents.stream()
			.sorted(Comparator.comparingLong((PeerIdentity agent) -> score(agent, service, key)).reversed())
			.toList();
		List<PeerIdentity> selected = new ArrayList<>();
		Set<String> domains = new HashSet<>();
		for (PeerIdentity agent : ranked) {
			if (selected.size() < REPLICAS && domains.add(agent.failureDomain())) {
				selected.add(agent);
			}
		}
		for (PeerIdentity agent : ranked) {
			if (selected.size() < REPLICAS && !selected.contains(agent)) {
				selected.add(agent);
			}
		}
		return selected;
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
