package org.crocuspost.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.crocuspost.time.Clock;
import org.crocuspost.wire.KeyClaim;
import org.crocuspost.wire.KeyClaimReply;

/**
 * Stores the idempotency keys of which this agent is a replica: the request that holds
 * each key and the agent to which its latest attempt was sent. Keys are removed after the
 * retention time, or oldest first if there are too many.
 */
final class IdempotencyKeyStore {

	private static final int MAXIMUM_KEYS = 100_000;

	private final Duration retention;

	private final Clock clock;

	private final Map<KeyName, KeyHolder> holders = new LinkedHashMap<>();

	IdempotencyKeyStore(Duration retention, Clock clock) {
		this.retention = retention;
		this.clock = clock;
	}

	/**
	 * Grants a key to a request unless another request holds it. A claim may replace that
	 * of a holder whose attempt never runs.
	 * @param claim the claim
	 * @return a reply that grants the key, or names the request that holds it
	 */
	synchronized KeyClaimReply claim(KeyClaim claim) {
		removeExpired();
		KeyName name = new KeyName(claim.getService(), claim.getIdempotencyKey());
		KeyHolder holder = this.holders.get(name);
		if (holder != null && !mayTake(claim, holder.claim())) {
			return refusal(holder.claim());
		}
		this.holders.remove(name);
		this.holders.put(name, new KeyHolder(claim, this.clock.nanoTime()));
		return KeyClaimReply.newBuilder().setGranted(true).build();
	}

	private static boolean mayTake(KeyClaim claim, KeyClaim holder) {
		boolean replaced = holder.getRequestId().equals(claim.getReplacedRequestId())
				&& holder.getAttempt() == claim.getReplacedAttempt();
		return replaced || holder.getRequestId().equals(claim.getRequestId());
	}

	private static KeyClaimReply refusal(KeyClaim holder) {
		return KeyClaimReply.newBuilder()
			.setRequestId(holder.getRequestId())
			.setAttempt(holder.getAttempt())
			.setTargetAgent(holder.getTargetAgent())
			.setTargetIncarnation(holder.getTargetIncarnation())
			.setBodyDigest(holder.getBodyDigest())
			.build();
	}

	private void removeExpired() {
		long now = this.clock.nanoTime();
		var oldest = this.holders.values().iterator();
		while (oldest.hasNext()) {
			boolean expired = now - oldest.next().claimedNanos() > this.retention.toNanos();
			if (!expired && this.holders.size() <= MAXIMUM_KEYS) {
				return;
			}
			oldest.remove();
		}
	}

	private record KeyName(String service, String key) {
	}

	private record KeyHolder(KeyClaim claim, long claimedNanos) {
	}

}
