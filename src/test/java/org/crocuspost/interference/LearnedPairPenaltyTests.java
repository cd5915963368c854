package org.crocuspost.interference;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class LearnedPairPenaltyTests {

	private static final Resources CAPACITY = new Resources(32_000, 125_000, 0);

	private static final double FORBIDDEN = Double.POSITIVE_INFINITY;

	private final PairPenalties penalties = new PairPenalties(PairPenaltySettings.DEFAULT,
			new VirtualTime(Instant.EPOCH));

	private final LearnedPairPenalty penalty = new LearnedPairPenalty(this.penalties,
			(worker) -> worker.startsWith("plain") ? Optional.empty() : Optional.of("wallet"), (job) -> 6_400);

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void costFollowsLearnedEffects(Example example) {
		observe("quiet", 0.01);
		observe("noisy", 1.5);
		double cost = this.penalty.cost(example.job(), worker(example.worker(), example.pressure(), example.tasks()));
		assertThat(cost).isBetween(example.minCost(), example.maxCost());
	}

	static Stream<Example> costFollowsLearnedEffects() {
		return Stream.of(new Example("harmless job on a worker with a service", "quiet", "w1", 300, Map.of(), 0, 0.05),
				new Example("harmless job has a cost on a worker without a service", "quiet", "plain", 0, Map.of(),
						0.06, 0.5),
				new Example("first task of a noisy job is admitted", "noisy", "w1", 300, Map.of("quiet", 3), 0.2, 0.5),
				new Example("second task of a noisy job is refused", "noisy", "w1", 300, Map.of("noisy", 1), FORBIDDEN,
						FORBIDDEN),
				new Example("unknown job is refused under high pressure", "new", "w1", 950, Map.of(), FORBIDDEN,
						FORBIDDEN),
				new Example("unknown job is tried under low pressure", "new", "w1", 300, Map.of(), 0, 0.5));
	}

	private void observe(String job, double effect) {
		this.penalties.observe("w9", new PairObservation("wallet", job, new JobEffect(effect, 0.05)));
	}

	private static WorkerSnapshot worker(String name, int pressure, Map<String, Integer> tasks) {
		return new WorkerSnapshot(name, "rack", "domain", CAPACITY, CAPACITY, pressure, tasks);
	}

	record Example(String name, String job, String worker, int pressure, Map<String, Integer> tasks, double minCost,
			double maxCost) {

		@Override
		public String toString() {
			return this.name;
		}

	}

}
