package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Capacity that the workers of one service have for fillers.
 *
 * @param exclusiveCores the cores of workers that run no service; heavy images run only
 * there
 * @param sharedCores the cores beside services that fillers of light images can use
 * @param age the age of the oldest report that is taken into account
 */
record FillerCapacity(double exclusiveCores, double sharedCores, Duration age) {

	double totalCores() {
		return this.exclusiveCores + this.sharedCores;
	}

}
