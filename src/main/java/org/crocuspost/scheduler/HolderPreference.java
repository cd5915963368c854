package org.crocuspost.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.shard.ShardRecord;

/**
 * Says which scheduler should claim a task, by rendezvous hashing over the holders of
 * shards, weighted by the capacity of the workers that report to them. Only a hint that
 * keeps schedulers from claiming the same tasks; claims are safe without it.
 */
final class HolderPreference {

	private static final double HASH_RANGE = 1L << 32;

	private final PeerIdentity self;

	private final List<Map.Entry<String, Long>> weights;

	HolderPreference(PeerIdentity self, Collection<ShardRecord> shards, Collection<String> domainsOut) {
		this.self = self;
		Map<String, Long> capacity = new HashMap<>();
		shards.stream()
			.filter((shard) -> !shard.released() && !domainsOut.contains(shard.domain()))
			.forEach((shard) -> capacity.merge(shard.holder(), Math.max(1, shard.milliCores()), Long::sum));
		this.weights = List.copyOf(capacity.entrySet());
	}

	boolean shared() {
		return this.weights.size() > 1;
	}

	boolean prefersSelf(String taskId) {
		if (!shared()) {
			return true;
		}
		String best = "";
		double bestScore = Double.NEGATIVE_INFINITY;
		for (Map.Entry<String, Long> holder : this.weights) {
			double score = -holder.getValue() / Math.log(hash(holder.getKey() + '\n' + taskId));
			if (score > bestScore) {
				best = holder.getKey();
				bestScore = score;
			}
		}
		return best.equals(this.self.name());
	}

	private static double hash(String text) {
		CRC32 checksum = new CRC32();
		checksum.update(text.getBytes(StandardCharsets.UTF_8));
		return (checksum.getValue() + 1) / (HASH_RANGE + 1);
	}

}
