package org.crocuspost.distribution;

/**
 * What a live entry or scheduler has written about confirmations.
 *
 * @param role the role in lower case
 * @param name the name of the process
 * @param summary the summary in its row
 */
public record ProcessConfirmation(String role, String name, ConfirmationSummary summary) {
}
