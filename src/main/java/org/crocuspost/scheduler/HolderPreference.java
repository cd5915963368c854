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
 * Selects the scheduler that should claim a task, by rendezvous hashing over the lease
 * holders of the shards, weighted by the capacity of the workers that report to them. The
 * selection is only a hint that keeps schedulers from claiming the same tasks; claims are
 * safe without it.
 */
final class HolderPreference {

	private static final double HASH_RANGE = 1L << 32;

	private final PeerIdentity self;

	private final List<Map.Entry<String, Long>> holderWeights;

	HolderPreference(PeerIdentity self, Collection<ShardRecord> shards, Collection<String> domainsOut) {
		this.self = self;
		Map<String, Long> capacityByHolder = new HashMap<>();
		shards.stream()
			.filter((shard) -> !shard.released() && !domainsOut.contains(shard.domain()))
			.forEach((shard) -> capacityByHolder.merge(shard.holder(), Math.max(1, shard.milliCores()), Long::sum));
		this.holderWeights = List.copyOf(capacityByHolder.entrySet());
	}

	boolean hasSeveralHolders() {
		return this.holderWeights.size() > 1;
	}

	boolean prefersSelf(String taskId) {
		if (!hasSeveralHolders()) {
			return true;
		}
		String preferredHolder = "";
		double highestScore = Double.NEGATIVE_INFINITY;
		for (Map.Entry<String, Long> holder : this.holderWeights) {
			double score = -holder.getValue() / Math.log(hash(holder.getKey() + '\n' + taskId));
			if (score > highestScore) {
				preferredHolder = holder.getKey();
				highestScore = score;
			}
		}
		return preferredHolder.equals(this.self.name());
	}

	private static double hash(String text) {
		CRC32 checksum = new CRC32();
		checksum.update(text.getBytes(StandardCharsets.UTF_8));
		return (checksum.getValue() + 1) / (HASH_RANGE + 1);
	}

}
