package org.crocuspost.host;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.WorkerDescription;
import org.jspecify.annotations.Nullable;

/**
 * Refuses starts that would bring the worker over the capacity that it announces.
 *
 * <p>
 * The leader accounts for the capacity, but its account may be out of date when the order
 * is carried out: the worker has shrunk since, or the order was read by an agent that was
 * paused in the meantime. Without a recent announcement the capacity is unknown, and
 * nothing starts. Runs that were started by an earlier incarnation of this agent are
 * known to the leader only. Must be used on the event loop only.
 */
final class CapacityGuard {

	/**
	 * Allowance for a late announcement, on top of two intervals.
	 */
	private static final Duration LATENESS_MARGIN = Duration.ofMillis(500);

	private final Clock clock;

	private final Duration maximumAge;

	private final Map<RunKey, StartOrder> starts = new HashMap<>();

	private @Nullable WorkerAnnouncement announced;

	private @Nullable ClockReading announcedAt;

	/**
	 * Creates a guard.
	 * @param clock the clock of the process
	 * @param announcementInterval the interval at which the worker announces itself
	 */
	CapacityGuard(Clock clock, Duration announcementInterval) {
		this.clock = clock;
		this.maximumAge = announcementInterval.multipliedBy(2).plus(LATENESS_MARGIN);
	}

	/**
	 * Records that the worker has announced its capacity.
	 * @param worker the worker
	 */
	void announced(WorkerAnnouncement worker) {
		WorkerAnnouncement former = this.announced;
		if (former != null && former.sameIncarnation(worker) && !former.sameCapacity(worker)) {
			EventLog.info(HostEvent.CAPACITY_CHANGED, Field.of("worker", worker.id()),
					Field.of("milliCores", worker.milliCores()), Field.of("formerMilliCores", former.milliCores()),
					Field.of("memoryMegabytes", worker.memoryMegabytes()),
					Field.of("accelerators", worker.accelerators()));
		}
		this.announced = worker;
		this.announcedAt = ClockReading.of(this.clock);
	}

	/**
	 * Returns whether the announced capacity may have changed unnoticed.
	 * @return true if the last announcement is too old
	 */
	boolean outOfDate() {
		return this.announcedAt == null || this.announcedAt.age(this.clock).compareTo(this.maximumAge) > 0;
	}

	/**
	 * Records an order that is passed on to the worker.
	 * @param order the order
	 */
	void started(StartOrder order) {
		this.starts.put(RunKey.of(order), order);
	}

	/**
	 * Returns whether the worker may run an order beside its other runs.
	 * @param order the order
	 * @param worker the announced worker
	 * @param present the runs that are listed or pending; runs that are being stopped
	 * belong to them until their end is listed
	 * @return the reason for a refusal; empty if the order fits
	 */
	String refusalReason(StartOrder order, WorkerAnnouncement worker, Set<RunKey> present) {
		if (outOfDate()) {
			return "the announced capacity is out of date";
		}
		this.starts.keySet().retainAll(present);
		Collection<StartOrder> others = this.starts.values();
		boolean fits = fits(order.getMilliCores(), others.stream().mapToInt(StartOrder::getMilliCores).sum(),
				worker.milliCores())
				&& fits(order.getMemoryMegabytes(), others.stream().mapToInt(StartOrder::getMemoryMegabytes).sum(),
						worker.memoryMegabytes())
				&& fits(order.getAccelerators(), others.stream().mapToInt(StartOrder::getAccelerators).sum(),
						worker.accelerators());
		return fits ? "" : "no capacity";
	}

	private static boolean fits(int requested, int used, int capacity) {
		return used + requested <= capacity;
	}

	/**
	 * Returns the description of the worker for the leader, without capacity if that is
	 * out of date.
	 * @param worker the worker
	 * @return the description
	 */
	WorkerDescription describe(WorkerDescription worker) {
		return outOfDate() ? worker.toBuilder().setMilliCores(0).setMemoryMegabytes(0).setAccelerators(0).build()
				: worker;
	}

}
