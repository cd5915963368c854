package org.crocuspost.distribution;

/**
 * Process whose confirmation of a version is awaited.
 *
 * @param role the role in lower case
 * @param name the name of the process
 * @param version the older version that it has confirmed
 */
public record AwaitedProcess(String role, String name, long version) {
}
