package org.crocuspost.bench.distribution;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.crocuspost.time.Clock;

/**
 * Records the time from the submission of a configuration version to its adoption by each
 * agent. An agent that skips a version counts as having adopted it together with the
 * newer one.
 */
final class AdoptionTimes {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final Clock clock;

	private final Map<Long, Long> submitTimes = new ConcurrentHashMap<>();

	private final Histogram adoptionMicroseconds = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	AdoptionTimes(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records when the submission of a version began. This is before its acceptance, so
	 * the recorded times include the acceptance.
	 * @param version the version
	 * @param nanoseconds the time of the clock in nanoseconds
	 */
	void recordSubmission(long version, long nanoseconds) {
		this.submitTimes.put(version, nanoseconds);
	}

	void recordAdoption(long previousVersion, long version) {
		long now = this.clock.nanoTime();
		for (long adoptedVersion = previousVersion + 1; adoptedVersion <= version; adoptedVersion++) {
			Long submittedAt = this.submitTimes.get(adoptedVersion);
			if (submittedAt != null) {
				this.adoptionMicroseconds.recordValue(TimeUnit.NANOSECONDS.toMicros(now - submittedAt));
			}
		}
	}

	Histogram histogram() {
		return this.adoptionMicroseconds;
	}

}
