package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Inputs of the decision to stop a run.
 *
 * @param pace the pace of the run in percent, as last reported
 * @param pressure the worst ratio of tail latency to target on the host
 * @param age the time since the run was placed
 */
public record StopEvidence(int pace, double pressure, Duration age) {
}
