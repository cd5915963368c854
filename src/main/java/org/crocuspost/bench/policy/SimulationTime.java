package org.crocuspost.bench.policy;

/**
 * Time within a benchmark run.
 *
 * @param step the simulation step, from 0; a step is one second
 * @param hour the hour of the day, from 0 to 24
 * @param daytime whether the time of day belongs to the daytime
 */
record SimulationTime(int step, double hour, boolean daytime) {
}
