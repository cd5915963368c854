package org.crocuspost.metrics;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * A condition for a process to be ready for work.
 *
 * @param name the name in lower case with hyphens
 * @param holds says whether the condition holds now; must not block
 */
public record HealthCheck(String name, BooleanSupplier holds) {

	public HealthCheck {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(holds, "holds");
	}

}
