package org.crocuspost.operations;

/**
 * An endpoint as an entry sees it.
 *
 * @param id the identity
 * @param service the service
 * @param worker the worker on which it runs
 * @param failureDomain the failure domain
 * @param slots the maximum number of requests that run at the same time
 * @param slotsUsed the number of requests that run
 * @param queued the number of requests that wait
 * @param accepting whether it accepts new requests
 * @param state the state that the entry has determined
 */
public record EndpointView(String id, String service, String worker, String failureDomain, int slots, int slotsUsed,
		int queued, boolean accepting, String state) {
}
