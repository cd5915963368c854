package org.crocuspost.retry;

/**
 * Identifies an attempt that is sent to an agent.
 *
 * @param requestId the identifier of the request
 * @param number the number of the attempt, from 1
 * @param agentName the name of the agent
 * @param agentIncarnation the incarnation of the agent
 */
public record SentAttempt(String requestId, int number, String agentName, String agentIncarnation) {
}
