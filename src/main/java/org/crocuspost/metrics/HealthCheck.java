package org.crocuspost.metrics;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * Named condition of the liveness or readiness of a process.
 *
 * @param name the name in lower case with hyphens
 * @param holds returns whether the condition holds now; must not block
 */
public record HealthCheck(String name, BooleanSupplier holds) {

	public HealthCheck {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(holds, "holds");
	}

}
