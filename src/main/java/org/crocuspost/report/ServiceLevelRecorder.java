package org.crocuspost.report;

import java.time.Duration;

/**
 * Is told of each request that a service answered or failed to answer. Must not block.
 */
@FunctionalInterface
public interface ServiceLevelRecorder {

	/**
	 * Records a request.
	 * @param service the name of the service
	 * @param available whether the caller got the service's answer
	 * @param latency the time from the arrival of the request to its answer
	 */
	void record(String service, boolean available, Duration latency);

}
