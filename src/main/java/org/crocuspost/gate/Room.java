package org.crocuspost.gate;

import java.time.Duration;

/**
 * Room of an endpoint at one moment.
 *
 * @param slotsUsed the slots that are taken
 * @param queued the requests that wait for a slot
 * @param serviceTime the estimated time for one request
 * @param expectedWait the estimated time until a new request would get a slot
 */
record Room(int slotsUsed, int queued, Duration serviceTime, Duration expectedWait) {
}
