package org.crocuspost.tour;

import java.util.Objects;

/**
 * Result of checking one guarantee.
 *
 * @param guarantee the guarantee
 * @param kept whether no violation was found
 * @param evidence the extent of what was checked and the number of violations
 */
public record Finding(String guarantee, boolean kept, String evidence) {

	public Finding {
		Objects.requireNonNull(guarantee, "guarantee");
		Objects.requireNonNull(evidence, "evidence");
	}

	static Finding of(String promise, long violations, String counted) {
		return new Finding(promise, violations == 0, counted + ", " + violations + " violations");
	}

}
