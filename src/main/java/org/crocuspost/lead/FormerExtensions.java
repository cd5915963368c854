package org.crocuspost.lead;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Until when the leaders before a new one may have extended leases, and what that rests
 * on. A host that has never reported to the new leader runs nothing one lease later.
 *
 * @param endNanos the end of that time, in nanoseconds of the process clock
 * @param earlierEndNanos the end of that time for the leaders before the predecessor, in
 * nanoseconds of the process clock
 * @param endMillis the end of that time on the store's clock, in milliseconds; empty if
 * the store does not tell its time
 * @param basis what is known of the predecessor
 */
record FormerExtensions(long endNanos, long earlierEndNanos, OptionalLong endMillis, Basis basis) {

	/**
	 * Derives the time from the row of the predecessor and the answer to the transaction
	 * that has replaced it.
	 * @param predecessor the row that was replaced
	 * @param takeover the store's clock in that answer; empty if it does not tell
	 * @param takeoverNanos when the answer was received, in nanoseconds of the process
	 * clock
	 * @param restartNanos if the predecessor was an earlier incarnation of this process,
	 * the start of this one, in nanoseconds of the process clock
	 * @return the time
	 */
	static FormerExtensions of(LeaderRecord predecessor, Optional<StoreClockReading> takeover, long takeoverNanos,
			OptionalLong restartNanos) {
		if (takeover.isEmpty()) {
			Duration permission = LeadershipTimings.LEASE_EXTENSION_WITHOUT_STORE;
			long endNanos = takeoverNanos + (long) (permission.toNanos() * StoreClockReading.CLOCK_DRIFT_FACTOR);
			return new FormerExtensions(endNanos, endNanos, OptionalLong.empty(), Basis.TAKEOVER);
		}
		StoreClockReading reading = takeover.get();
		// A leader before the takeover rests on a transaction before it. That also limits
		// what was recorded by another clock, if the store's clock has started anew.
		Bound atTakeover = new Bound(reading.expiryMillis(LeadershipTimings.LEASE_EXTENSION_WITHOUT_STORE),
				Basis.TAKEOVER);
		Bound holder = atTakeover;
		Bound former = atTakeover;
		if (predecessor.deadlines().isPresent()) {
			ExtensionDeadlines deadlines = predecessor.deadlines().get();
			holder = predecessor.vacant() ? new Bound(reading.storeMillis(), Basis.RESIGNED)
					: new Bound(deadlines.holderMillis(), Basis.RECORDED).earlier(atTakeover);
			former = new Bound(deadlines.formerMillis(), Basis.RECORDED).earlier(atTakeover);
		}
		if (restartNanos.isPresent()) {
			holder = holder.earlier(new Bound(reading.storeMillisNotBefore(restartNanos.getAsLong()), Basis.RESTARTED));
		}
		Bound end = holder.later(former);
		return new FormerExtensions(reading.nanosNotBefore(end.millis()), reading.nanosNotBefore(former.millis()),
				OptionalLong.of(end.millis()), end.basis());
	}

	/**
	 * Returns the time if the predecessor is known to have ended.
	 * @param nanos a moment at which it had ended, in nanoseconds of the process clock
	 * @return the time, which is not later than this one
	 */
	FormerExtensions endedBy(long nanos) {
		return (nanos >= this.endNanos) ? this : new FormerExtensions(Math.max(nanos, this.earlierEndNanos),
				this.earlierEndNanos, this.endMillis, Basis.RESTARTED);
	}

	/**
	 * Knowledge of a predecessor.
	 */
	enum Basis {

		/**
		 * The predecessor was an earlier incarnation of this process, or of another one
		 * that has recorded its end.
		 */
		RESTARTED,

		/**
		 * The predecessor has resigned, and extends no lease from then on.
		 */
		RESIGNED,

		/**
		 * The predecessor has recorded until when it extends leases.
		 */
		RECORDED,

		/**
		 * Nothing is known but that the predecessor may have been the leader until the
		 * takeover.
		 */
		TAKEOVER

	}

	/**
	 * A time of the store's clock until which a leader may have extended leases.
	 *
	 * @param millis the time, in milliseconds
	 * @param basis what the time rests on
	 */
	private record Bound(long millis, Basis basis) {

		private Bound earlier(Bound other) {
			return (other.millis < this.millis) ? other : this;
		}

		private Bound later(Bound other) {
			return (other.millis > this.millis) ? other : this;
		}

	}

}
