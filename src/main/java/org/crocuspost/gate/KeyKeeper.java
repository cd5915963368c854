package org.crocuspost.gate;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.crocuspost.time.Clock;
import org.crocuspost.wire.KeyClaim;
import org.crocuspost.wire.KeyClaimReply;

/**
 * Keeps the idempotency keys for which this agent is a keeper: which request holds each
 * key, and on which agent its newest attempt was made. Keys are forgotten after the
 * retention, oldest first.
 */
final class KeyKeeper {

	private static final int MAXIMUM_KEYS = 100_000;

	private final Duration retention;

	private final Clock clock;

	private final Map<KeyName, Held> held = new LinkedHashMap<>();

	KeyKeeper(Duration retention, Clock clock) {
		this.retention = retention;
		this.clock = clock;
	}

	/**
	 * Grants a key to a request unless another request holds it.
	 * @param claim the claim
	 * @return whether the key was granted, and who holds it otherwise
	 */
	synchronized KeyClaimReply claim(KeyClaim claim) {
		forget();
		KeyName name = new KeyName(claim.getService(), claim.getIdempotencyKey());
		Held holder = this.held.get(name);
		if (holder != null && !mayTake(claim, holder.claim())) {
			return refusal(holder.claim());
		}
		this.held.remove(name);
		this.held.put(name, new Held(claim, this.clock.nanoTime()));
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

	private void forget() {
		long now = this.clock.nanoTime();
		var oldest = this.held.values().iterator();
		while (oldest.hasNext()) {
			boolean expired = now - oldest.next().nanos() > this.retention.toNanos();
			if (!expired && this.held.size() <= MAXIMUM_KEYS) {
				return;
			}
			oldest.remove();
		}
	}

	private record KeyName(String service, String key) {
	}

	private record Held(KeyClaim claim, long nanos) {
	}

}
