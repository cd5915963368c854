package org.crocuspost.platform.worker;

import java.time.Duration;

/**
 * Measured resource usage of one attempt.
 *
 * @param attempt the attempt
 * @param used the resources in use
 * @param age the age of the measurement
 */
public record UsageReport(AttemptKey attempt, Resources used, Duration age) {
}
