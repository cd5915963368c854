package org.crocuspost.configuration;

import org.crocuspost.platform.worker.Resources;

/**
 * Limits the total resources that the running tasks of a team may use.
 *
 * @param team the team
 * @param limit the maximum total resources
 */
public record TeamQuota(String team, Resources limit) {
}
