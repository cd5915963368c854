package org.crocuspost.operations;

/**
 * A failure domain.
 *
 * @param name the name
 * @param out whether it is taken out
 */
public record DomainView(String name, boolean out) {
}
