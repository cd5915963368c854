package org.crocuspost.platform.worker;

import java.time.Duration;

/**
 * Measured use of resources by one attempt.
 *
 * @param attempt the attempt
 * @param used the resources in use
 * @param age how old the measurement is
 */
public record UsageReport(AttemptKey attempt, Resources used, Duration age) {
}
