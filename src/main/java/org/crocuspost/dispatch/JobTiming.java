package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * How long a job took in relation to the time in which it should complete.
 *
 * @param age the time since the job was accepted
 * @param objective the latency objective; empty if the queue of the job is not configured
 */
public record JobTiming(Duration age, Optional<Duration> objective) {
}
