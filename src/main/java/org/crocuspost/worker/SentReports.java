package org.crocuspost.worker;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.vavr.control.Option;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Records when the latest reports were sent. A start command contains the sequence number
 * of the report on which it is based, so the agent can limit the age of the command by
 * its own clock alone.
 */
final class SentReports {

	private static final int MAX_REPORTS = 128;

	private final Clock clock;

	private final Map<Long, Stopwatch> stopwatches = new LinkedHashMap<>();

	private long sequence;

	SentReports(Clock clock) {
		this.clock = clock;
	}

	long recordNext() {
		this.sequence++;
		this.stopwatches.put(this.sequence, Stopwatch.start(this.clock));
		this.stopwatches.remove(this.sequence - MAX_REPORTS);
		return this.sequence;
	}

	Option<Stopwatch> findStopwatch(long reportSequence) {
		return Option.of(this.stopwatches.get(reportSequence));
	}

	boolean isRecent(long reportSequence, Duration maxAge) {
		return findStopwatch(reportSequence).exists((stopwatch) -> stopwatch.holderElapsed().compareTo(maxAge) <= 0);
	}

}
