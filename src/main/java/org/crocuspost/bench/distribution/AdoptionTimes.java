package org.crocuspost.bench.distribution;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.crocuspost.time.Clock;

/**
 * Time from the acceptance of a version to its adoption by each agent. An agent that
 * skips a version has adopted it with the newer one.
 */
final class AdoptionTimes {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final Clock clock;

	private final Map<Long, Long> acceptedAt = new ConcurrentHashMap<>();

	private final Histogram adoption = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	AdoptionTimes(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes when the submit of a version was begun, which is before its acceptance.
	 * @param version the version
	 * @param nanos the time
	 */
	void submitted(long version, long nanos) {
		this.acceptedAt.put(version, nanos);
	}

	void adopted(long previous, long version) {
		long now = this.clock.nanoTime();
		for (long reached = previous + 1; reached <= version; reached++) {
			Long begun = this.acceptedAt.get(reached);
			if (begun != null) {
				this.adoption.recordValue(TimeUnit.NANOSECONDS.toMicros(now - begun));
			}
		}
	}

	Histogram histogram() {
		return this.adoption;
	}

}
