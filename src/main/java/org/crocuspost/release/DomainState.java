package org.crocuspost.release;

/**
 * Content of the row of a failure domain.
 *
 * @param out whether the failure domain is out of service
 * @param version the version of the configuration that set the state
 */
public record DomainState(boolean out, long version) {
}
