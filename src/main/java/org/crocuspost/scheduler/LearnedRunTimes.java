package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;
import org.HdrHistogram.Histogram;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Run times of jobs, learned from the attempts that this process claimed.
 */
final class LearnedRunTimes {

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Clock clock;

	private final Map<AttemptKey, Stopwatch> started = new HashMap<>();

	private final Map<String, Histogram> milliseconds = new HashMap<>();

	LearnedRunTimes(Clock clock) {
		this.clock = clock;
	}

	synchronized void started(AttemptKey attempt) {
		this.started.put(attempt, Stopwatch.start(this.clock));
	}

	synchronized void stopped(AttemptKey attempt) {
		this.started.remove(attempt);
	}

	synchronized void succeeded(AttemptKey attempt, String job) {
		Stopwatch start = this.started.remove(attempt);
		if (start != null) {
			this.milliseconds.computeIfAbsent(job, (name) -> new Histogram(SIGNIFICANT_DIGITS))
				.recordValue(start.observerElapsed().toMillis());
		}
	}

	synchronized Option<Duration> percentile(String job, double percentile) {
		return Option.of(this.milliseconds.get(job))
			.map((histogram) -> Duration.ofMillis(histogram.getValueAtPercentile(percentile)));
	}

	synchronized void retain(Set<String> jobs) {
		this.milliseconds.keySet().retainAll(jobs);
	}

}
