package org.crocuspost.standin.endpoint;

/**
 * One run of a request.
 *
 * @param requestId the identity of the request; empty if it came without one
 * @param method the method
 * @param target the path with the query
 * @param body the body as text
 */
public record LedgerEntry(String requestId, String method, String target, String body) {
}
