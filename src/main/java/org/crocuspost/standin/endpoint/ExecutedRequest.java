package org.crocuspost.standin.endpoint;

/**
 * One execution of a request by an endpoint stand-in.
 *
 * @param requestId the identity of the request; empty if it has none
 * @param method the HTTP method
 * @param target the path with the query
 * @param body the body as text
 */
public record ExecutedRequest(String requestId, String method, String target, String body) {
}
