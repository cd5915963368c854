package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.assertj.core.data.Offset;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PairPenaltiesTests {

	private static final double LOW_PRESSURE = 0.2;

	private static final double HIGH_PRESSURE = 0.95;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final PairPenalties penalties = new PairPenalties(PairPenaltySettings.DEFAULT, this.time);

	@Test
	void unknownPairIsTriedOnlyUnderLowPressure() {
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE)).isPresent();
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, HIGH_PRESSURE)).isEmpty();
	}

	@Test
	void unknownPairIsTriedOnFewWorkersAtOnce() {
		observe("w1", JobEffect.UNKNOWN);
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE)).isPresent();
		observe("w2", JobEffect.UNKNOWN);
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE)).isEmpty();
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE)).isPresent();
	}

	@Test
	void reportWithoutThePairEndsItsTrial() {
		this.penalties.recordReport("w1", List.of(observation(JobEffect.UNKNOWN)));
		this.penalties.recordReport("w2", List.of(observation(JobEffect.UNKNOWN)));
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE)).isEmpty();
		this.penalties.recordReport("w2", List.of());
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE)).isPresent();
	}

	@Test
	void evidenceIsKeptWhenATrialEnds() {
		this.penalties.recordReport("w1", List.of(observation(new JobEffect(2, 0.1))));
		this.penalties.recordReport("w1", List.of());
		assertThat(this.penalties.effect("wallet", "statements").mean()).isGreaterThan(1.8);
	}

	@Test
	void additionalTaskIsNoNewTrialButRequiresLowPressure() {
		observe("w1", JobEffect.UNKNOWN);
		observe("w2", JobEffect.UNKNOWN);
		assertThat(this.penalties.additionalTaskPenalty("wallet", "statements", 0.2, LOW_PRESSURE)).isPresent();
		assertThat(this.penalties.additionalTaskPenalty("wallet", "statements", 0.2, HIGH_PRESSURE)).isEmpty();
	}

	@Test
	void preciseObservationsOutweighImpreciseOnes() {
		observe("w1", new JobEffect(2, 0.1));
		observe("w2", new JobEffect(0, 0.7));
		assertThat(this.penalties.effect("wallet", "statements").mean()).isGreaterThan(1.8);
	}

	@Test
	void repeatedReportsOfOneWorkerCountOnce() {
		observe("w1", new JobEffect(2, 0.3));
		double once = this.penalties.effect("wallet", "statements").standardError();
		observe("w1", new JobEffect(2, 0.3));
		assertThat(this.penalties.effect("wallet", "statements").standardError()).isEqualTo(once);
	}

	@Test
	void evidenceDecaysUntilThePairIsUnknownAgain() {
		observe("w1", new JobEffect(2, 0.1));
		double fresh = this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE).orElseThrow();
		this.time.advance(Duration.ofDays(3));
		double stale = this.penalties.penalty("wallet", "statements", 0.2, LOW_PRESSURE).orElseThrow();
		assertThat(stale).isLessThan(fresh / 4);
		this.penalties.removeExpired();
		assertThat(this.penalties.effect("wallet", "statements").standardError())
			.isCloseTo(JobEffect.UNKNOWN.standardError(), Offset.offset(1e-9));
	}

	private void observe(String worker, JobEffect effect) {
		this.penalties.observe(worker, observation(effect));
	}

	private static PairObservation observation(JobEffect effect) {
		return new PairObservation("wallet", "statements", effect);
	}

}
