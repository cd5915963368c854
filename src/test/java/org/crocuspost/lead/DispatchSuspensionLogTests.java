package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.log.RecentEvents;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the log tells while dispatching is suspended.
 */
class DispatchSuspensionLogTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final long before = RecentEvents.after(0).stream().mapToLong(RecentEvents.Line::sequence).max().orElse(0);

	private List<Map<String, String>> lines(String event) {
		return RecentEvents.after(this.before)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> event.equals(fields.get("event")))
			.toList();
	}

	/**
	 * Guards against a leader that dispatches nothing and does not tell why.
	 */
	@Test
	void suspensionOfDispatchingIsLoggedUntilItEnds() {
		DispatchSuspensionLog suspensions = new DispatchSuspensionLog(this.time);
		StartConditions old = new StartConditions(0, false, Duration.ofMillis(40),
				LeadershipTimings.MAXIMUM_OPERATOR_VIEW_AGE);
		suspensions.writeIfDue(DispatchSuspensionLog.MINIMUM_DURATION.minusMillis(1), old, true, false, false);
		assertThat(lines("dispatch-suspended")).isEmpty();
		for (int tick = 10; tick <= 70; tick++) {
			suspensions.writeIfDue(Duration.ofMillis(tick * 100), old, tick < 30, false, false);
			this.time.advance(Duration.ofMillis(100));
		}
		assertThat(lines("dispatch-suspended")).extracting((fields) -> fields.get("reasons"))
			.containsExactly("[operator-view]", "[operator-view, confirmation]");
		suspensions.writeIfDue(Duration.ZERO, old, true, false, false);
		suspensions.writeIfDue(Duration.ZERO, old, true, false, false);
		assertThat(lines("dispatch-resumed")).singleElement()
			.satisfies((fields) -> assertThat(fields).containsEntry("suspendedMillis", "7100")
				.containsEntry("reasons", "[operator-view, confirmation]"));
	}

}
