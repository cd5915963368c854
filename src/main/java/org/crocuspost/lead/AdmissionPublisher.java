package org.crocuspost.lead;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.dispatch.AdmissionFigures;
import org.crocuspost.dispatch.AdmissionFigures.Backlog;
import org.crocuspost.dispatch.AdmissionFigures.Backlogs;
import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Decides when a leader records the work ahead of new jobs.
 */
final class AdmissionPublisher {

	private static final double SIGNIFICANT_CHANGE = 0.1;

	private static final Backlogs NO_BACKLOGS = new Backlogs(Backlog.NONE, Backlog.NONE);

	private final Dispatcher dispatcher;

	private final long epoch;

	private final Clock clock;

	private final Set<String> hostsHeard = new HashSet<>();

	private AdmissionFigures measured;

	private AdmissionFigures published;

	private long measuredNanos;

	private long publishedNanos;

	AdmissionPublisher(Dispatcher dispatcher, long epoch, Clock clock) {
		this.dispatcher = dispatcher;
		this.epoch = epoch;
		this.clock = clock;
		this.measured = new AdmissionFigures(epoch, 0, 0, Map.of(), Set.of());
		this.published = this.measured;
		this.measuredNanos = clock.nanoTime();
		this.publishedNanos = this.measuredNanos;
	}

	void reportReceived(String host) {
		this.hostsHeard.add(host);
	}

	/**
	 * Measures the work ahead of new jobs if the interval has passed. A leader that has
	 * not heard of most of the hosts does not know what drains the backlog and does not
	 * measure.
	 * @param hosts the number of hosts that are known from the store
	 */
	void measureIfDue(int hosts) {
		long now = this.clock.nanoTime();
		if (this.hostsHeard.isEmpty() || this.hostsHeard.size() * 2 <= hosts
				|| now - this.measuredNanos < LeadershipTimings.ADMISSION_INTERVAL.toNanos()) {
			return;
		}
		this.measuredNanos = now;
		this.measured = this.dispatcher.load().admission(this.epoch, LeadershipTimings.ADMISSION_VALIDITY);
	}

	/**
	 * Returns the value to add to a transaction that is written now.
	 * @return the encoded figures, or empty if the published ones are still right
	 */
	Optional<String> takeIfDue() {
		long now = this.clock.nanoTime();
		long age = now - this.publishedNanos;
		if (this.measured == this.published || age < LeadershipTimings.ADMISSION_INTERVAL.toNanos()) {
			return Optional.empty();
		}
		boolean renewal = !this.measured.backlogs().isEmpty() && age >= LeadershipTimings.ADMISSION_RENEWAL.toNanos();
		if (!renewal && !changedSignificantly()) {
			return Optional.empty();
		}
		this.published = this.measured;
		this.publishedNanos = now;
		this.published.backlogs()
			.forEach((queue, backlogs) -> EventLog.info(LeadEvent.ADMISSION_PUBLISHED, Field.of("queue", queue),
					Field.of("sharedWork", backlogs.shared().work()),
					Field.of("sharedDrainMilliCores", backlogs.shared().drainMilliCores()),
					Field.of("exclusiveWork", backlogs.exclusive().work()),
					Field.of("exclusiveDrainMilliCores", backlogs.exclusive().drainMilliCores()),
					Field.of("exclusiveImages", this.published.exclusiveImages().size()),
					Field.of("ageMillis", this.clock.millis() - this.published.measuredMillis())));
		return Optional.of(this.published.write());
	}

	private boolean changedSignificantly() {
		Set<String> queues = new HashSet<>(this.measured.backlogs().keySet());
		queues.addAll(this.published.backlogs().keySet());
		return queues.stream().anyMatch((queue) -> {
			Backlogs next = this.measured.backlogs().getOrDefault(queue, NO_BACKLOGS);
			Backlogs previous = this.published.backlogs().getOrDefault(queue, NO_BACKLOGS);
			return changed(previous.shared(), next.shared()) || changed(previous.exclusive(), next.exclusive());
		});
	}

	private static boolean changed(Backlog previous, Backlog next) {
		return changed(previous.work(), next.work()) || changed(previous.drainMilliCores(), next.drainMilliCores());
	}

	private static boolean changed(long previous, long next) {
		return Math.abs(next - previous) > SIGNIFICANT_CHANGE * previous;
	}

}
