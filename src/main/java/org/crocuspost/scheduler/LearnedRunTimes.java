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
 * Records the run times of jobs, in milliseconds, from the attempts that this process
 * claimed.
 */
final class LearnedRunTimes {

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Clock clock;

	private final Map<AttemptKey, Stopwatch> stopwatches = new HashMap<>();

	private final Map<String, Histogram> runTimeMillisByJob = new HashMap<>();

	LearnedRunTimes(Clock clock) {
		this.clock = clock;
	}

	synchronized void recordStart(AttemptKey attempt) {
		this.stopwatches.put(attempt, Stopwatch.start(this.clock));
	}

	synchronized void discard(AttemptKey attempt) {
		this.stopwatches.remove(attempt);
	}

	synchronized void recordSuccess(AttemptKey attempt, String job) {
		Stopwatch stopwatch = this.stopwatches.remove(attempt);
		if (stopwatch != null) {
			this.runTimeMillisByJob.computeIfAbsent(job, (name) -> new Histogram(SIGNIFICANT_DIGITS))
				.recordValue(stopwatch.observerElapsed().toMillis());
		}
	}

	synchronized Option<Duration> percentile(String job, double percentile) {
		return Option.of(this.runTimeMillisByJob.get(job))
			.map((histogram) -> Duration.ofMillis(histogram.getValueAtPercentile(percentile)));
	}

	synchronized void retainJobs(Set<String> jobs) {
		this.runTimeMillisByJob.keySet().retainAll(jobs);
	}

}
