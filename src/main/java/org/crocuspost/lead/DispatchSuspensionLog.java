package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs that the leader makes no scheduling passes, and when it does so again. Normally a
 * pass follows each change, and each tick.
 */
final class DispatchSuspensionLog {

	/**
	 * Time without a pass from which on dispatching counts as suspended.
	 */
	static final Duration MINIMUM_DURATION = Duration.ofSeconds(1);

	/**
	 * Time between two lines of one suspension.
	 */
	static final Duration REPETITION_INTERVAL = Duration.ofSeconds(5);

	private final Clock clock;

	private Optional<Suspension> suspension = Optional.empty();

	private long loggedNanos;

	DispatchSuspensionLog(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Writes a line if dispatching is suspended and none was written for a time, or if it
	 * is resumed.
	 * @param sincePass the time since the last scheduling pass
	 * @param conditions what the leader knows about its permission to start tasks
	 * @param confirmed whether the store confirms the leader
	 * @param recording whether a transaction waits for its answer
	 * @param resigning whether the leader resigns
	 */
	void writeIfDue(Duration sincePass, StartConditions conditions, boolean confirmed, boolean recording,
			boolean resigning) {
		long now = this.clock.nanoTime();
		if (sincePass.compareTo(MINIMUM_DURATION) < 0) {
			this.suspension
				.ifPresent((ended) -> EventLog.info(LeadEvent.DISPATCH_RESUMED, Field.of("reasons", ended.reasons()),
						Field.of("suspendedMillis", Duration.ofNanos(now - ended.sinceNanos()).toMillis()),
						Field.of("confirmationAgeMillis", conditions.confirmationAge().toMillis()),
						Field.of("operatorViewAgeMillis", conditions.operatorViewAge().toMillis())));
			this.suspension = Optional.empty();
			return;
		}
		List<String> reasons = reasons(conditions, confirmed, recording, resigning);
		boolean changed = !reasons.equals(this.suspension.map(Suspension::reasons).orElse(List.of()));
		if (this.suspension.isPresent()
				&& now - this.loggedNanos < (changed ? MINIMUM_DURATION : REPETITION_INTERVAL).toNanos()) {
			return;
		}
		this.loggedNanos = now;
		this.suspension = Optional.of(new Suspension(now - sincePass.toNanos(), reasons));
		EventLog.warn(LeadEvent.DISPATCH_SUSPENDED, Field.of("reasons", reasons),
				Field.of("sincePassMillis", sincePass.toMillis()),
				Field.of("confirmationAgeMillis", conditions.confirmationAge().toMillis()),
				Field.of("operatorViewAgeMillis", conditions.operatorViewAge().toMillis()));
	}

	private static List<String> reasons(StartConditions conditions, boolean confirmed, boolean recording,
			boolean resigning) {
		List<String> reasons = new ArrayList<>();
		if (conditions.operatorViewAge().compareTo(LeadershipTimings.MAXIMUM_OPERATOR_VIEW_AGE) >= 0) {
			reasons.add("operator-view");
		}
		if (!confirmed) {
			reasons.add("confirmation");
		}
		if (recording) {
			reasons.add("recording");
		}
		if (resigning) {
			reasons.add("resignation");
		}
		return reasons;
	}

	/**
	 * Time without scheduling passes.
	 *
	 * @param sinceNanos the time of the last pass, in nanoseconds of the process clock
	 * @param reasons the reasons that were logged last
	 */
	private record Suspension(long sinceNanos, List<String> reasons) {
	}

}
