package org.crocuspost.scheduler;

import org.crocuspost.time.Clock;

/**
 * Holds what the scheduler has learned since it started. Lost when the process ends.
 *
 * @param sizes the sizes of jobs
 * @param runTimes the run times of jobs
 * @param failures the failures of workers and jobs
 */
record LearnedState(LearnedSizes sizes, LearnedRunTimes runTimes, FailureTracker failures) {

	static LearnedState empty(Clock clock, boolean learnSizes) {
		return new LearnedState(new LearnedSizes(learnSizes), new LearnedRunTimes(clock), new FailureTracker(clock));
	}

}
