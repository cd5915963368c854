package org.crocuspost.distribution;

/**
 * Process that has not confirmed a version yet.
 *
 * @param role the role in lower case
 * @param name the name of the process
 * @param version the version that it has confirmed
 */
public record AwaitedProcess(String role, String name, long version) {
}
