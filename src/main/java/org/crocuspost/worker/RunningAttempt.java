package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;

/**
 * Snapshot of a running attempt for the control of interference between tasks and
 * services.
 *
 * @param attempt the identity of the attempt
 * @param job the name of the job
 * @param reserved the resources that are reserved for the attempt
 * @param used the resources in use according to the last measurement
 * @param usedAge the age of the measurement
 * @param throttlePercent the current limit as a share of its declared CPU time in
 * percent, 0 to 100
 * @param evictRequested whether its eviction has already been requested
 */
public record RunningAttempt(AttemptKey attempt, String job, Resources reserved, Resources used, Duration usedAge,
		int throttlePercent, boolean evictRequested) {
}
