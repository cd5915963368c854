package org.crocuspost.report;

import java.time.Duration;

/**
 * Records each request that a service answered or failed to answer. Implementations must
 * not block.
 */
@FunctionalInterface
public interface ServiceLevelRecorder {

	/**
	 * Records a request.
	 * @param service the name of the service
	 * @param available whether the caller got the service's response
	 * @param latency the time from the arrival of the request to its response
	 */
	void record(String service, boolean available, Duration latency);

}
