package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Result of an attempt to free workers of services.
 *
 * @param service the service whose workers these are
 * @param waitingMilliCores the processor capacity that the waiting fillers need, in
 * thousandths of a core
 * @param waited the time for which fillers have waited
 * @param wanted the number of workers that these fillers would fill
 * @param freed the number of workers whose services are moved
 * @param movedTasks the number of tasks that are moved
 * @param rejected the number of workers whose services fit nowhere else
 * @param fixed the number of workers with a service that may not be moved now
 * @param skipped the number of workers that were not tried, since the attempt had reached
 * a limit
 */
public record ConsolidationAttempt(String service, long waitingMilliCores, Duration waited, int wanted, int freed,
		int movedTasks, int rejected, int fixed, int skipped) {
}
