package org.crocuspost.tour;

import java.time.Instant;
import java.util.Objects;

/**
 * One step of the tour.
 *
 * @param name the expected result of the step
 * @param done whether the result was reached in time
 * @param ended the time when the step ended
 */
public record TourStep(String name, boolean done, Instant ended) {

	public TourStep {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(ended, "ended");
	}

}
