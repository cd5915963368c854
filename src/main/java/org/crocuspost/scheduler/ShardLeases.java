package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.Tuple2;
import io.vavr.collection.Seq;
import io.vavr.control.Option;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.shard.ShardLease;
import org.crocuspost.shard.ShardRecord;
import org.crocuspost.shard.ShardToken;
import org.crocuspost.time.Clock;

/**
 * The leases of all failure domains as this process sees them.
 */
final class ShardLeases {

	private final Map<String, ShardLease> leases = new LinkedHashMap<>();

	ShardLeases(SchedulingSettings settings, PeerIdentity self, TableService table, Clock clock) {
		for (String domain : settings.domains()) {
			this.leases.put(domain, new ShardLease(domain, self, settings.shardLease(), table, clock));
		}
	}

	void poll(Seq<Row> rows, WorkerDirectory workers) {
		Map<String, Row> byKey = rows.toJavaMap((row) -> new Tuple2<>(row.key(), row));
		this.leases.forEach((domain, lease) -> {
			String key = TableKeys.shard(domain);
			lease.poll(byKey.getOrDefault(key, Row.absent(key)), workers.milliCores(domain));
		});
	}

	Option<ShardLease> find(String domain) {
		return Option.of(this.leases.get(domain));
	}

	List<ShardToken> tokens() {
		List<ShardToken> tokens = new ArrayList<>();
		this.leases.values().forEach((lease) -> lease.token().forEach(tokens::add));
		return tokens;
	}

	List<ShardRecord> records() {
		return this.leases.values().stream().map(ShardLease::record).toList();
	}

	void release() {
		this.leases.values().forEach(ShardLease::release);
	}

}
