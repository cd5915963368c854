package org.crocuspost.tour;

import java.time.Instant;
import java.util.Objects;

/**
 * One step of the tour.
 *
 * @param name what should happen
 * @param done whether it happened in time
 * @param ended when the step ended
 */
public record TourStep(String name, boolean done, Instant ended) {

	public TourStep {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(ended, "ended");
	}

}
