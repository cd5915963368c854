package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.assertj.core.data.Offset;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PairPenaltiesTests {

	private static final double AMPLE_ROOM = 0.2;

	private static final double LITTLE_ROOM = 0.95;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final PairPenalties penalties = new PairPenalties(PairPenaltySettings.DEFAULT, this.time);

	@Test
	void unknownPairIsTriedOnlyWhereTheServiceHasRoom() {
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM)).isPresent();
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, LITTLE_ROOM)).isEmpty();
	}

	@Test
	void unknownPairIsTriedOnFewWorkersAtOnce() {
		observe("w1", JobEffect.UNKNOWN);
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM)).isPresent();
		observe("w2", JobEffect.UNKNOWN);
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM)).isEmpty();
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM)).isPresent();
	}

	@Test
	void workerThatNoLongerRunsTheJobMakesRoomForAnotherTrial() {
		this.penalties.recordReport("w1", List.of(observation(JobEffect.UNKNOWN)));
		this.penalties.recordReport("w2", List.of(observation(JobEffect.UNKNOWN)));
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM)).isEmpty();
		this.penalties.recordReport("w2", List.of());
		assertThat(this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM)).isPresent();
	}

	@Test
	void whatWasLearnedStaysWhenATrialEnds() {
		this.penalties.recordReport("w1", List.of(observation(new JobEffect(2, 0.1))));
		this.penalties.recordReport("w1", List.of());
		assertThat(this.penalties.effect("wallet", "statements").mean()).isGreaterThan(1.8);
	}

	@Test
	void furtherTaskOnAWorkerIsNoNewTrialButNeedsRoom() {
		observe("w1", JobEffect.UNKNOWN);
		observe("w2", JobEffect.UNKNOWN);
		assertThat(this.penalties.furtherPenalty("wallet", "statements", 0.2, AMPLE_ROOM)).isPresent();
		assertThat(this.penalties.furtherPenalty("wallet", "statements", 0.2, LITTLE_ROOM)).isEmpty();
	}

	@Test
	void preciseObservationsOutweighVagueOnes() {
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
	void knowledgeDecaysUntilThePairIsUnknownAgain() {
		observe("w1", new JobEffect(2, 0.1));
		double fresh = this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM).orElseThrow();
		this.time.advance(Duration.ofDays(3));
		double stale = this.penalties.penalty("wallet", "statements", 0.2, AMPLE_ROOM).orElseThrow();
		assertThat(stale).isLessThan(fresh / 4);
		this.penalties.expire();
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
