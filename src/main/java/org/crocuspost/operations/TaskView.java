package org.crocuspost.operations;

/**
 * A batch task.
 *
 * @param id the identity
 * @param job the job
 * @param status the state
 * @param attempt the number of the newest attempt
 * @param worker the worker; empty if it has none
 * @param failureDomain the failure domain; empty if it has none
 */
public record TaskView(String id, String job, String status, long attempt, String worker, String failureDomain) {
}
