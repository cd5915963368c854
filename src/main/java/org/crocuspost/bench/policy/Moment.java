package org.crocuspost.bench.policy;

/**
 * Time within a run.
 *
 * @param step the step of one second, from 0
 * @param hour the hour of the day, from 0 to 24
 * @param daytime whether the hour belongs to the daytime
 */
record Moment(int step, double hour, boolean daytime) {
}
