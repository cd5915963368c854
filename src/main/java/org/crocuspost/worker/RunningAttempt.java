package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;

/**
 * A running attempt as shown to the control of interference.
 *
 * @param attempt the attempt
 * @param job the job
 * @param reserved the resources that are set aside
 * @param used the resources in use when last measured
 * @param usedAge how old the measurement is
 * @param throttlePercent the present limit of its processor share, 0 to 100
 * @param evictRequested whether its eviction was requested already
 */
public record RunningAttempt(AttemptKey attempt, String job, Resources reserved, Resources used, Duration usedAge,
		int throttlePercent, boolean evictRequested) {
}
