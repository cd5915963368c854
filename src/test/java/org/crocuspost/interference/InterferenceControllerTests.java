package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InterferenceControllerTests {

	private static final Resources CAPACITY = new Resources(32_000, 125_000, 0);

	private static final ServiceObjective OBJECTIVE = new ServiceObjective(Duration.ofMillis(200), 0.99, 0.999);

	private static final ControlledAttempt SMALL_CULPRIT = attempt("small", "noisy", 4_000);

	private static final ControlledAttempt LARGE_NEIGHBOUR = attempt("large", "quiet", 16_000);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final Random random = new Random(7);

	private final ServiceLatencyWindow window = new ServiceLatencyWindow(this.time);

	private final List<ControlledAttempt> running = new ArrayList<>();

	private final Map<AttemptKey, Integer> percents = new HashMap<>();

	private final List<EvictionRequest> evictions = new ArrayList<>();

	private final Map<String, Double> effects = new HashMap<>();

	private double baseSeconds = 0.03;

	private final InterferenceController controller = new InterferenceController(InterferenceSettings.DEFAULT,
			this.time, CAPACITY, this.window, EffectPriors.NONE, () -> this.running, this.percents::put,
			this.evictions::add);

	@Test
	void smallCulpritIsThrottledAndLargeNeighbourIsNot() {
		this.effects.put("noisy", 4.0);
		run(30);
		this.running.add(LARGE_NEIGHBOUR);
		run(60);
		this.running.add(SMALL_CULPRIT);
		run(60);
		assertThat(this.percents.get(SMALL_CULPRIT.key())).isLessThan(50);
		assertThat(this.percents.get(LARGE_NEIGHBOUR.key())).isGreaterThan(90);
	}

	@Test
	void harmlessWorkIsReleasedStepByStep() {
		run(30);
		this.running.add(LARGE_NEIGHBOUR);
		run(1);
		int first = this.percents.get(LARGE_NEIGHBOUR.key());
		run(1);
		assertThat(this.percents.get(LARGE_NEIGHBOUR.key()))
			.isLessThanOrEqualTo(first + InterferenceSettings.DEFAULT.recoveryPercent());
		run(120);
		assertThat(this.percents.get(LARGE_NEIGHBOUR.key())).isGreaterThan(90);
	}

	@Test
	void culpritThatThrottlingDoesNotTameIsProposedForEvictionOnce() {
		this.baseSeconds = 0.06;
		this.effects.put("noisy", 16.0);
		run(30);
		this.running.add(LARGE_NEIGHBOUR);
		run(60);
		this.running.add(SMALL_CULPRIT);
		run(240);
		assertThat(this.evictions).hasSize(1);
		assertThat(this.evictions.get(0).attempt()).isEqualTo(SMALL_CULPRIT.key());
		assertThat(this.evictions.get(0).effect().significant()).isTrue();
	}

	@Test
	void workIsReleasedWhenTheEndpointTakesNoRequests() {
		this.effects.put("noisy", 4.0);
		run(30);
		this.running.add(SMALL_CULPRIT);
		run(60);
		assertThat(this.percents.get(SMALL_CULPRIT.key())).isLessThan(50);
		for (int i = 0; i < 10; i++) {
			this.controller.liftThrottles();
		}
		assertThat(this.percents.get(SMALL_CULPRIT.key())).isEqualTo(100);
	}

	@Test
	void nothingIsObservedWhileTheEndpointTakesNoRequests() {
		run(30);
		this.running.add(LARGE_NEIGHBOUR);
		run(1);
		assertThat(this.controller.observations()).hasSize(1);
		this.controller.liftThrottles();
		assertThat(this.controller.observations()).isEmpty();
	}

	@Test
	void workIsReleasedWhenRequestsCease() {
		this.effects.put("noisy", 4.0);
		run(30);
		this.running.add(SMALL_CULPRIT);
		run(60);
		assertThat(this.percents.get(SMALL_CULPRIT.key())).isLessThan(50);
		for (int i = 0; i < 80; i++) {
			this.controller.control("lunchwallet", OBJECTIVE);
			this.time.advance(Duration.ofSeconds(1));
		}
		assertThat(this.percents.get(SMALL_CULPRIT.key())).isEqualTo(100);
	}

	@Test
	void overloadThatBatchWorkDoesNotCauseEvictsNothing() {
		run(30);
		this.running.add(LARGE_NEIGHBOUR);
		run(60);
		this.baseSeconds = 0.3;
		run(240);
		assertThat(this.controller.pressure()).isGreaterThan(1);
		assertThat(this.evictions).isEmpty();
	}

	private void run(int seconds) {
		for (int i = 0; i < seconds; i++) {
			for (int request = 0; request < 20; request++) {
				this.window.record(latency());
			}
			this.controller.control("lunchwallet", OBJECTIVE);
			this.time.advance(Duration.ofSeconds(1));
		}
	}

	private Duration latency() {
		double slowdown = 0;
		for (ControlledAttempt attempt : this.running) {
			double share = (double) attempt.reserved().milliCores() / CAPACITY.milliCores();
			double throttle = this.percents.getOrDefault(attempt.key(), 100) / 100.0;
			slowdown += this.effects.getOrDefault(attempt.job(), 0.0) * share * throttle;
		}
		double seconds = this.baseSeconds * Math.exp(slowdown + 0.4 * this.random.nextGaussian());
		return Duration.ofNanos((long) (seconds * 1e9));
	}

	private static ControlledAttempt attempt(String task, String job, long milliCores) {
		return new ControlledAttempt(new AttemptKey(task, 1), job, new Resources(milliCores, 1000, 0));
	}

}
