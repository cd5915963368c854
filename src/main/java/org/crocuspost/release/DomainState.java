package org.crocuspost.release;

/**
 * Content of the row of a failure domain.
 *
 * @param out whether the failure domain is taken out
 * @param version the version of the configuration that said so
 */
public record DomainState(boolean out, long version) {
}
