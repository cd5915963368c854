package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Information on which the decision to defer or resume a job is based.
 *
 * @param heavyWork the remaining work of the job that only workers without services can
 * run, in core-seconds
 * @param totalWork the remaining work of the job, in core-seconds
 * @param heavyWorkAhead the work of the first kind of the jobs ahead, in core-seconds
 * @param totalWorkAhead the work of the jobs ahead, in core-seconds
 * @param exclusiveCores the cores of workers without services
 * @param sharedCores the cores beside services that light fillers can use
 * @param timeLeft the time for which the result is still of use; negative if it is not
 * @param age the age of the oldest report that is taken into account
 */
public record SelectionEvidence(double heavyWork, double totalWork, double heavyWorkAhead, double totalWorkAhead,
		double exclusiveCores, double sharedCores, Duration timeLeft, Duration age) {

}
