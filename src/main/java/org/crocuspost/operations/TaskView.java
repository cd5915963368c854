package org.crocuspost.operations;

/**
 * A batch task.
 *
 * @param id the id of the task
 * @param job the name of the job
 * @param status the state
 * @param attempt the number of the newest attempt
 * @param worker the worker; empty if none is assigned
 * @param failureDomain the failure domain; empty if none is assigned
 */
public record TaskView(String id, String job, String status, long attempt, String worker, String failureDomain) {
}
