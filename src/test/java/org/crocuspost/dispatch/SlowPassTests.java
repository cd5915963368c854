package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Collection;

import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests scheduling passes that take long, since the processor is slow.
 */
class SlowPassTests {

	private static final Duration TIME_FOR_A_CHOICE = Duration.ofMillis(60);

	private static final int CHOICES_IN_A_PASS = 3;

	private final DispatchFixture fixture = new DispatchFixture();

	private int choices;

	private void slowDown() {
		this.fixture.dispatcher = new Dispatcher(DispatchFixture.SETTINGS, new SlowPolicy(), this.fixture.time,
				new SilentDispatchListener());
		this.fixture.configure(this.fixture.dispatcher);
		this.fixture.reports = new ReportProcessor(this.fixture.dispatcher, this.fixture.imagePressure);
	}

	/**
	 * Guards against a leader that reads nothing for seconds during a pass, and against
	 * jobs behind many that find no worker, which a pass cut short never comes to.
	 */
	@Test
	void passThatTakesLongEndsAndTheNextOneGoesOn() {
		slowDown();
		this.fixture.worker("host", 1_000);
		for (int number = 0; number < 10; number++) {
			this.fixture.submit("large" + number, DispatchFixture.step(1, 2_000));
		}
		this.fixture.submit("last", DispatchFixture.step(40, 500));
		for (int pass = 0; pass < 3; pass++) {
			this.choices = 0;
			this.fixture.dispatcher.schedule();
			assertThat(this.choices).isEqualTo(CHOICES_IN_A_PASS);
			assertThat(this.fixture.job("last").hasAssignedTask()).isFalse();
		}
		this.fixture.dispatcher.schedule();
		assertThat(this.fixture.job("last").hasAssignedTask()).isTrue();
	}

	/**
	 * Guards against a long-running task that waits while several passes go on with the
	 * jobs behind it.
	 */
	@Test
	void longRunningJobsComeFirstInEachPass() {
		slowDown();
		this.fixture.worker("host", 1_000);
		for (int number = 0; number < 10; number++) {
			this.fixture.submit("large" + number, DispatchFixture.step(1, 2_000));
		}
		this.fixture.dispatcher.schedule();
		this.fixture.submit("service", new DispatchFixture.StepBuilder().milliCores(500).service().build());
		this.fixture.dispatcher.schedule();
		assertThat(this.fixture.job("service").hasAssignedTask()).isTrue();
	}

	private final class SlowPolicy implements PlacementPolicy {

		private final PlacementPolicy policy = new DefaultPlacementPolicy(SlowPassTests.this.fixture.imagePressure);

		@Override
		public @Nullable CandidateHost choose(TaskProgress task, Collection<CandidateHost> candidates) {
			SlowPassTests.this.choices++;
			SlowPassTests.this.fixture.time.advance(TIME_FOR_A_CHOICE);
			return this.policy.choose(task, candidates);
		}

		@Override
		public @Nullable CandidateHost chooseForStarving(TaskProgress task, Collection<CandidateHost> candidates) {
			return this.policy.chooseForStarving(task, candidates);
		}

	}

}
