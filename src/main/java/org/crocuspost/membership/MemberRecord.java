package org.crocuspost.membership;

import java.util.Locale;
import java.util.Objects;

import io.vavr.control.Either;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.json.Json;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;

/**
 * Row that lists an entry or a scheduler in the table.
 *
 * @param identity the identity of the process
 * @param address the IP address and port at which the process accepts connections of
 * other processes
 * @param renewal a counter that the incarnation increments with every write
 * @param leaving whether the process is stopping, so that no other process connects to it
 * @param confirmations the summary of the configuration versions that the process and its
 * agents have confirmed
 */
public record MemberRecord(PeerIdentity identity, String address, long renewal, boolean leaving,
		ConfirmationSummary confirmations) {

	public MemberRecord {
		Objects.requireNonNull(identity, "identity");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(confirmations, "confirmations");
	}

	/**
	 * Decodes a row.
	 * @param row a row that exists
	 * @return the record, or why the row holds none
	 */
	public static Either<String, MemberRecord> of(Row row) {
		return Json.parse(row.value(), MemberRecord.class).flatMap((record) -> {
			if (!record.key().equals(row.key())) {
				return Either.left("the record names another process than the key");
			}
			return Addresses.parse(record.address()).isPresent() ? Either.right(record)
					: Either.left("the address is malformed");
		});
	}

	/**
	 * Returns the role as it appears in keys.
	 * @param role the role
	 * @return the role in lower case
	 */
	public static String roleName(PeerIdentity.Role role) {
		return role.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the key of the row.
	 * @return the key
	 */
	public String key() {
		return TableKeys.member(roleName(this.identity.role()), this.identity.name());
	}

	/**
	 * Returns the value of the row.
	 * @return the record as JSON
	 */
	public String value() {
		return Json.write(this);
	}

	MemberRecord renewed(boolean nowLeaving, ConfirmationSummary summary) {
		return new MemberRecord(this.identity, this.address, this.renewal + 1, nowLeaving, summary);
	}

	boolean sameIncarnation(MemberRecord other) {
		return this.identity.incarnation().equals(other.identity.incarnation());
	}

}
