package org.crocuspost.worker;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.vavr.control.Option;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Remembers when the latest reports were sent. A start command names the report on which
 * it rests, which bounds the age of the command on the agent's own clock alone.
 */
final class ReportLog {

	private static final int REMEMBERED_REPORTS = 128;

	private final Clock clock;

	private final Map<Long, Stopwatch> sent = new LinkedHashMap<>();

	private long sequence;

	ReportLog(Clock clock) {
		this.clock = clock;
	}

	long next() {
		this.sequence++;
		this.sent.put(this.sequence, Stopwatch.start(this.clock));
		this.sent.remove(this.sequence - REMEMBERED_REPORTS);
		return this.sequence;
	}

	Option<Stopwatch> sent(long reportSequence) {
		return Option.of(this.sent.get(reportSequence));
	}

	boolean fresh(long reportSequence, Duration budget) {
		return sent(reportSequence).exists((stopwatch) -> stopwatch.holderElapsed().compareTo(budget) <= 0);
	}

}
