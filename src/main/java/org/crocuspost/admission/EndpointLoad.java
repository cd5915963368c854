package org.crocuspost.admission;

import java.time.Duration;

/**
 * Load of an endpoint at one point in time.
 *
 * @param slotsUsed the number of slots in use
 * @param queued the number of requests that wait for a slot
 * @param serviceTime the estimated service time of a request
 * @param expectedWait the estimated time until a new request would get a slot
 */
record EndpointLoad(int slotsUsed, int queued, Duration serviceTime, Duration expectedWait) {
}
