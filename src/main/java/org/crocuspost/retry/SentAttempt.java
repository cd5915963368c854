package org.crocuspost.retry;

/**
 * An attempt that was sent to an agent.
 *
 * @param requestId the identity of the request
 * @param number the number of the attempt, from 1
 * @param agentName the name of the agent
 * @param agentIncarnation the incarnation of the agent
 */
public record SentAttempt(String requestId, int number, String agentName, String agentIncarnation) {
}
