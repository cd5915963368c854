package org.crocuspost.operations;

/**
 * An endpoint as an entry sees it.
 *
 * @param id the identity
 * @param service the service
 * @param worker the worker on which it runs
 * @param failureDomain the failure domain
 * @param slots the most requests that run at the same time
 * @param slotsUsed requests that run
 * @param queued requests that wait
 * @param accepting whether it gets new work
 * @param state what the entry thinks of it
 */
public record EndpointView(String id, String service, String worker, String failureDomain, int slots, int slotsUsed,
		int queued, boolean accepting, String state) {
}
