package org.crocuspost.interference;

/**
 * What one worker has learned of a service and a job that ran together.
 *
 * @param service the name of the service
 * @param job the name of the job
 * @param effect the effect of the job on the service
 */
public record PairObservation(String service, String job, JobEffect effect) {
}
