package org.crocuspost.scheduler;

import java.time.Duration;

import org.crocuspost.platform.worker.Resources;

/**
 * Status of a worker as its scheduler knows it.
 *
 * @param worker the name of the worker
 * @param rack the rack
 * @param domain the failure domain
 * @param capacity all resources
 * @param serviceReserve the resources that are set aside for services
 * @param runningAttempts the number of attempts that it reports as running
 * @param reportAge how old the newest report is
 * @param live whether it gets tasks as far as its reports go
 * @param onProbation whether it gets no tasks because everything failed there
 */
public record WorkerStatus(String worker, String rack, String domain, Resources capacity, Resources serviceReserve,
		int runningAttempts, Duration reportAge, boolean live, boolean onProbation) {
}
