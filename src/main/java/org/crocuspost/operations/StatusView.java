package org.crocuspost.operations;

import java.util.List;

import org.crocuspost.distribution.AwaitedProcess;

/**
 * Summary of the state of the deployment.
 *
 * @param entry the entry that answers
 * @param version the newest version of the configuration that the entry has received
 * @param noteId the id of the release note that created it
 * @param inForce whether every process has confirmed it
 * @param awaited processes that have not confirmed it, as far as their names are known
 * @param services the number of services
 * @param jobs the number of batch jobs
 * @param domainsOut failure domains that are out of service
 * @param endpointsWithdrawn the number of withdrawn endpoints
 * @param store the state of the platform's store as seen by the entry: "ok" or the
 * failure
 */
public record StatusView(String entry, long version, String noteId, boolean inForce, List<AwaitedProcess> awaited,
		int services, int jobs, List<String> domainsOut, int endpointsWithdrawn, String store) {
}
