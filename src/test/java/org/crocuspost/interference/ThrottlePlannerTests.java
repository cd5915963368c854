package org.crocuspost.interference;

import java.util.List;
import java.util.stream.Stream;

import org.crocuspost.interference.ThrottlePlanner.Candidate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class ThrottlePlannerTests {

	private final ThrottlePlanner planner = new ThrottlePlanner(5);

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void attemptsWithLowerEffectsGetSharesFirst(Example example) {
		assertThat(this.planner.plan(example.candidates(), example.limit())).containsExactly(example.percents());
	}

	static Stream<Example> attemptsWithLowerEffectsGetSharesFirst() {
		return Stream.of(example("harmless attempt gets its full share", 0.1, List.of(new Candidate(0.9, 0)), 100),
				example("small attempt with a large effect is throttled, large one with a small effect is not", 0.1,
						List.of(new Candidate(0.2, 2), new Candidate(0.3, 0.1)), 17, 100),
				example("no share is below the minimum", 0, List.of(new Candidate(0.5, 1)), 5),
				example("no attempts give no shares", 0.1, List.of()));
	}

	private static Example example(String name, double limit, List<Candidate> candidates, int... percents) {
		return new Example(name, limit, candidates, percents);
	}

	record Example(String name, double limit, List<Candidate> candidates, int[] percents) {

		@Override
		public String toString() {
			return this.name;
		}

	}

}
