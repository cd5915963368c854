package org.crocuspost.tour;

import java.util.Objects;

/**
 * Judgement of one promise.
 *
 * @param promise what must hold
 * @param kept whether it held
 * @param evidence what was counted
 */
public record Finding(String promise, boolean kept, String evidence) {

	public Finding {
		Objects.requireNonNull(promise, "promise");
		Objects.requireNonNull(evidence, "evidence");
	}

	static Finding of(String promise, long violations, String counted) {
		return new Finding(promise, violations == 0, counted + ", " + violations + " violations");
	}

}
