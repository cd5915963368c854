package org.crocuspost.distribution;

/**
 * Confirmation summary that a live entry or scheduler has stored in its member row.
 *
 * @param role the role in lower case
 * @param name the name of the process
 * @param summary the summary in its row
 */
public record ProcessConfirmation(String role, String name, ConfirmationSummary summary) {
}
