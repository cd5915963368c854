package org.crocuspost.membership;

import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.shard.ShardRecord;

/**
 * Finds entries and the scheduler of a failure domain in the table, for an agent without
 * a connection to an entry. A single read does not show which processes are live, so the
 * result may contain processes that have ended.
 */
public final class EntryFinder {

	private final TableService table;

	private final String failureDomain;

	/**
	 * Creates the finder.
	 * @param table the table service
	 * @param failureDomain the failure domain of the agent
	 */
	public EntryFinder(TableService table, String failureDomain) {
		this.table = table;
		this.failureDomain = failureDomain;
	}

	/**
	 * Reads the table. Blocks.
	 * @return the listed processes; none if the table cannot be read or lists no entry
	 */
	public Option<AgentView> find() {
		Either<?, List<MemberRecord>> records = this.table.scan(TableKeys.MEMBERS)
			.map((rows) -> rows.flatMap(MemberRecord::of).filter((record) -> !record.leaving()).asJava());
		if (records.isLeft()) {
			return Option.none();
		}
		List<Member> entries = members(records.get(), PeerIdentity.Role.ENTRY);
		if (entries.isEmpty()) {
			return Option.none();
		}
		return Option.some(new AgentView(entries, holder(members(records.get(), PeerIdentity.Role.SCHEDULER))));
	}

	private Optional<ShardHolderMember> holder(List<Member> schedulers) {
		Row row = this.table.read(TableKeys.shard(this.failureDomain))
			.getOrElse(Row.absent(TableKeys.shard(this.failureDomain)));
		// A malformed row names no holder; the entries then tell who holds the domain.
		Optional<ShardRecord> shard = ShardRecord.read(this.failureDomain, row).toJavaOptional();
		return shard.flatMap((record) -> holder(record, schedulers));
	}

	private Optional<ShardHolderMember> holder(ShardRecord shard, List<Member> schedulers) {
		return schedulers.stream()
			.filter((scheduler) -> shard.heldBy(scheduler.identity().name(), scheduler.identity().incarnation()))
			.findFirst()
			.map((scheduler) -> new ShardHolderMember(this.failureDomain, shard.epoch(), scheduler));
	}

	private static List<Member> members(List<MemberRecord> records, PeerIdentity.Role role) {
		return records.stream()
			.filter((record) -> record.identity().role() == role)
			.flatMap((record) -> Addresses.parse(record.address())
				.map((address) -> new Member(record.identity(), address))
				.stream())
			.toList();
	}

}
