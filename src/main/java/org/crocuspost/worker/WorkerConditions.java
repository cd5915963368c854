package org.crocuspost.worker;

import org.crocuspost.platform.worker.Resources;

/**
 * Conditions of a worker that restrict its batch tasks or are reported to the scheduler
 * with them.
 */
public interface WorkerConditions {

	/**
	 * Returns whether the failure domain of the worker is out of service.
	 * @return true if it is, so that no task may start
	 */
	boolean domainOutOfService();

	/**
	 * Returns the newest configuration version that the agent applies.
	 * @return the version; 0 if the agent has no configuration
	 */
	long configurationVersion();

	/**
	 * Returns the resources that are reserved for services.
	 * @return the resources
	 */
	Resources serviceReserve();

	/**
	 * Returns the latency of the service on the worker relative to its latency objective.
	 * @return the ratio in thousandths
	 */
	int servicePressure();

}
