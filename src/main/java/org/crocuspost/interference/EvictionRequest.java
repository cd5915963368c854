package org.crocuspost.interference;

import java.time.Duration;

import org.crocuspost.platform.worker.AttemptKey;

/**
 * Request to evict an attempt because throttling it does not help enough.
 *
 * @param attempt the attempt
 * @param job the name of its job
 * @param effect how much the job slows the service down, as measured
 * @param pressure the tail of the service's latency relative to its objective
 * @param throttled for how long the attempt has been throttled to the least share
 */
public record EvictionRequest(AttemptKey attempt, String job, JobEffect effect, double pressure, Duration throttled) {
}
