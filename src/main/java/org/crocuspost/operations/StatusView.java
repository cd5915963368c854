package org.crocuspost.operations;

import java.util.List;

import org.crocuspost.distribution.AwaitedProcess;

/**
 * State of the deployment at a glance.
 *
 * @param entry the entry that answers
 * @param version the newest version that the entry knows
 * @param noteId the note that led to it
 * @param inForce whether it is in force everywhere
 * @param awaited processes that have not confirmed it, as far as they are named
 * @param services the number of services
 * @param jobs the number of batch jobs
 * @param domainsOut failure domains that are taken out
 * @param endpointsWithdrawn the number of withdrawn endpoints
 * @param store what the entry knows of the platform's store: "ok" or the failure
 */
public record StatusView(String entry, long version, String noteId, boolean inForce, List<AwaitedProcess> awaited,
		int services, int jobs, List<String> domainsOut, int endpointsWithdrawn, String store) {
}
