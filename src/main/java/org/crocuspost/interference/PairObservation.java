package org.crocuspost.interference;

/**
 * Effect of a job on a service, as estimated by one worker that ran both.
 *
 * @param service the name of the service
 * @param job the name of the job
 * @param effect the effect of the job on the service
 */
public record PairObservation(String service, String job, JobEffect effect) {
}
