package org.crocuspost.httpserver;

/**
 * Limits of the connections to one address.
 *
 * @param maximumConnections the number of connections that are open at once
 * @param maximumBodyBytes the largest body that is accepted, in bytes
 */
public record ConnectionLimits(int maximumConnections, int maximumBodyBytes) {

}
