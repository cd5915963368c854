package org.crocuspost.operations;

/**
 * A failure domain.
 *
 * @param name the name
 * @param out whether it is out of service
 */
public record DomainView(String name, boolean out) {
}
