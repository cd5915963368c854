package org.crocuspost.standin.server;

/**
 * Answer after writes that were held back have been applied.
 *
 * @param applied how many took effect
 */
public record HeldWritesApplied(int applied) {
}
