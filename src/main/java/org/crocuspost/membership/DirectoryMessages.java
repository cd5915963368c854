package org.crocuspost.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.wire.Directory;
import org.crocuspost.wire.DirectoryEntry;
import org.crocuspost.wire.ProcessRole;
import org.crocuspost.wire.ShardHolder;

/**
 * Encodes members as directory messages and decodes them.
 */
final class DirectoryMessages {

	private DirectoryMessages() {
	}

	static Directory encode(Members members, String failureDomain, Duration age) {
		Directory.Builder directory = Directory.newBuilder().setAgeMilliseconds(age.toMillis());
		members.entries().forEach((entry) -> directory.addEntries(encode(entry)));
		members.shardHolder(failureDomain).ifPresent((holder) -> directory.addShardHolders(encode(holder)));
		return directory.build();
	}

	private static DirectoryEntry encode(Member entry) {
		return DirectoryEntry.newBuilder()
			.setRole(ProcessRole.PROCESS_ROLE_ENTRY)
			.setName(entry.identity().name())
			.setIncarnation(entry.identity().incarnation())
			.setFailureDomain(entry.identity().failureDomain())
			.setAddress(Addresses.format(entry.address()))
			.build();
	}

	private static ShardHolder encode(ShardHolderMember holder) {
		return ShardHolder.newBuilder()
			.setFailureDomain(holder.failureDomain())
			.setEpoch(holder.epoch())
			.setSchedulerName(holder.scheduler().identity().name())
			.setIncarnation(holder.scheduler().identity().incarnation())
			.setAddress(Addresses.format(holder.scheduler().address()))
			.build();
	}

	static List<Member> entries(Directory directory) {
		return directory.getEntriesList()
			.stream()
			.filter((entry) -> entry.getRole() == ProcessRole.PROCESS_ROLE_ENTRY)
			.flatMap((entry) -> decode(entry).stream())
			.toList();
	}

	private static Optional<Member> decode(DirectoryEntry entry) {
		PeerIdentity identity = new PeerIdentity(PeerIdentity.Role.ENTRY, entry.getName(), entry.getIncarnation(),
				entry.getFailureDomain());
		return Addresses.parse(entry.getAddress()).map((address) -> new Member(identity, address));
	}

	static Optional<ShardHolderMember> shardHolder(Directory directory, String failureDomain) {
		return directory.getShardHoldersList()
			.stream()
			.filter((holder) -> holder.getFailureDomain().equals(failureDomain))
			.findFirst()
			.flatMap(DirectoryMessages::decode);
	}

	private static Optional<ShardHolderMember> decode(ShardHolder holder) {
		PeerIdentity identity = new PeerIdentity(PeerIdentity.Role.SCHEDULER, holder.getSchedulerName(),
				holder.getIncarnation(), "");
		return Addresses.parse(holder.getAddress())
			.map((address) -> new ShardHolderMember(holder.getFailureDomain(), holder.getEpoch(),
					new Member(identity, address)));
	}

}
