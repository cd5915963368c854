package org.crocuspost.standin.server;

/**
 * Response to a request to apply held writes.
 *
 * @param applied the number of writes that took effect
 */
public record HeldWritesApplied(int applied) {
}
