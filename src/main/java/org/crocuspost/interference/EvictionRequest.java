package org.crocuspost.interference;

import java.time.Duration;

import org.crocuspost.platform.worker.AttemptKey;

/**
 * Request to evict an attempt because throttling it does not reduce the interference
 * enough.
 *
 * @param attempt the attempt
 * @param job the name of its job
 * @param effect the estimated effect of the job on the service
 * @param pressure the tail latency of the service divided by its objective
 * @param throttledDuration how long the attempt has been throttled to the minimum share
 */
public record EvictionRequest(AttemptKey attempt, String job, JobEffect effect, double pressure,
		Duration throttledDuration) {
}
