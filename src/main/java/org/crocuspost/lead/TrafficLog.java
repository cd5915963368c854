package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.time.Clock;

/**
 * Logs the leader's traffic at a fixed interval, so that a leader that outgrows its
 * network link can be recognized from its log.
 */
final class TrafficLog {

	private static final Duration INTERVAL = Duration.ofSeconds(5);

	private final TrafficCounters meter;

	private final Clock clock;

	private Map<String, TrafficCounters.Totals> reported;

	private long reportedNanos;

	TrafficLog(TrafficCounters meter, Clock clock) {
		this.meter = meter;
		this.clock = clock;
		this.reported = meter.totals();
		this.reportedNanos = clock.nanoTime();
	}

	/**
	 * Writes a line if the interval since the previous one has passed.
	 */
	void writeIfDue() {
		long now = this.clock.nanoTime();
		if (now - this.reportedNanos < INTERVAL.toNanos()) {
			return;
		}
		List<Field> fields = new ArrayList<>();
		fields.add(Field.of("millis", Duration.ofNanos(now - this.reportedNanos).toMillis()));
		Map<String, TrafficCounters.Totals> totals = this.meter.totals();
		new TreeMap<>(totals).forEach((kind, total) -> {
			TrafficCounters.Totals since = total.minus(this.reported.getOrDefault(kind, TrafficCounters.Totals.ZERO));
			fields.add(Field.of(kind + " sent", since.sentBytes()));
			fields.add(Field.of(kind + " received", since.receivedBytes()));
		});
		EventLog.info(LeadEvent.TRAFFIC_COUNTED, fields.toArray(Field[]::new));
		this.reported = totals;
		this.reportedNanos = now;
	}

}
