package org.crocuspost.worker;

import org.crocuspost.platform.worker.Resources;

/**
 * What the agent knows about its worker besides batch tasks.
 */
public interface WorkerConditions {

	/**
	 * Says whether the failure domain of the worker is taken out.
	 * @return true if no task may start
	 */
	boolean domainOutOfService();

	/**
	 * Returns the newest configuration version on which the agent acts.
	 * @return the version; 0 if none is known
	 */
	long configurationVersion();

	/**
	 * Returns the resources that are set aside for services.
	 * @return the resources
	 */
	Resources serviceReserve();

	/**
	 * Returns the latency of the service on the worker relative to its objective.
	 * @return the ratio in thousandths
	 */
	int servicePressure();

}
