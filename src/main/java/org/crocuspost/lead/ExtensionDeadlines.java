package org.crocuspost.lead;

/**
 * Times until which leaders may extend the leases of workers, on the steady clock of the
 * store.
 *
 * <p>
 * A leader goes on to extend leases for some time without the store, so that work
 * survives an outage. The next leader must not start a task again while the worker that
 * ran it may still get an extension. If it counted that time from its own takeover, the
 * tasks of a host that has gone would be down for an outage of the store, and then for as
 * long again. All leaders read the same clock with the answers of the store, so that one
 * can tell from the row of its predecessor that the time is over already. That relies on
 * a clock that is never set forward; one that is set back only delays the next leader.
 *
 * @param holderMillis the time after which the leader that wrote the row extends no lease
 * unless it has written a later one, in milliseconds of the store's clock
 * @param formerMillis the time after which no earlier leader extends a lease, in
 * milliseconds of the store's clock
 */
public record ExtensionDeadlines(long holderMillis, long formerMillis) {

	public ExtensionDeadlines {
		if (holderMillis < 0 || formerMillis < 0) {
			throw new IllegalArgumentException("a time of the store's clock is negative");
		}
	}

	/**
	 * Returns the deadlines in the first row of the next leader, which extends no lease
	 * before it has written another one.
	 * @return the deadlines
	 */
	ExtensionDeadlines succeeded() {
		long latest = Math.max(this.holderMillis, this.formerMillis);
		return new ExtensionDeadlines(latest, latest);
	}

}
