package org.crocuspost.configuration;

import org.crocuspost.platform.worker.Resources;

/**
 * The most resources that the running tasks of a team may take together.
 *
 * @param team the team
 * @param limit the limit
 */
public record TeamQuota(String team, Resources limit) {
}
