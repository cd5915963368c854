package org.crocuspost.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.interference.ControlledAttempt;
import org.crocuspost.interference.EffectPriors;
import org.crocuspost.interference.InterferenceController;
import org.crocuspost.interference.InterferenceSettings;
import org.crocuspost.interference.JobEffect;
import org.crocuspost.interference.LearnedPairPenalty;
import org.crocuspost.interference.PairObservation;
import org.crocuspost.interference.PairPenalties;
import org.crocuspost.interference.PairPenaltySettings;
import org.crocuspost.interference.ServiceLatencyWindow;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.placement.PlacementRequest;
import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Clock;
import org.crocuspost.time.VirtualTime;

/**
 * Measures slopes within this process.
 */
final class SlopeMeasurement {

	private static final Resources CAPACITY = new Resources(32_000, 125_000, 2);

	private static final Resources TASK = new Resources(2000, 4000, 0);

	private static final int REQUESTS_AN_INTERVAL = 30;

	private static final int REPETITIONS = 3000;

	private final Clock clock;

	SlopeMeasurement(Clock clock) {
		this.clock = clock;
	}

	List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(new Slope("worker report on the wire", "bytes", "attempts", 0, bytes(0), 16, bytes(16)));
		slopes.add(slope("encoding of a worker report", "attempts", 0, 16, this::encoding));
		slopes.add(slope("interference control of one interval", "attempts", 0, 16, this::control));
		slopes.add(slope("placement of one task", "workers", 100, 860, this::placement));
		return slopes;
	}

	private static double bytes(int attempts) {
		return SampleMessages.report(attempts).getSerializedSize();
	}

	private Slope slope(String name, String size, int small, int large, IntFunction<Runnable> work) {
		return new Slope(name, "microseconds", size, small, time(work.apply(small)), large, time(work.apply(large)));
	}

	private double time(Runnable work) {
		repeat(work);
		long begin = this.clock.nanoTime();
		repeat(work);
		return (this.clock.nanoTime() - begin) / 1000.0 / REPETITIONS;
	}

	private static void repeat(Runnable work) {
		for (int i = 0; i < REPETITIONS; i++) {
			work.run();
		}
	}

	private Runnable encoding(int attempts) {
		return () -> SampleMessages.report(attempts).toByteArray();
	}

	private Runnable control(int attempts) {
		VirtualTime time = new VirtualTime(Instant.EPOCH);
		ServiceLatencyWindow window = new ServiceLatencyWindow(time);
		List<ControlledAttempt> running = new ArrayList<>();
		for (int i = 0; i < attempts; i++) {
			running.add(new ControlledAttempt(new AttemptKey("task-" + i, 1), "job-" + i, TASK));
		}
		InterferenceController controller = new InterferenceController(InterferenceSettings.DEFAULT, time, CAPACITY,
				window, EffectPriors.NONE, () -> running, (attempt, percent) -> {
				}, (request) -> {
				});
		ServiceObjective objective = new ServiceObjective(Duration.ofMillis(150), 0.99, 0.999);
		return () -> {
			for (int i = 0; i < REQUESTS_AN_INTERVAL; i++) {
				window.record(Duration.ofMillis(20 + i));
			}
			controller.control("lunchwallet", objective);
			time.advance(InterferenceSettings.DEFAULT.interval());
		};
	}

	private Runnable placement(int workers) {
		PairPenalties penalties = new PairPenalties(PairPenaltySettings.DEFAULT, new VirtualTime(Instant.EPOCH));
		PlacementPolicy policy = new DefaultPlacementPolicy(
				new LearnedPairPenalty(penalties, (worker) -> Optional.of("lunchwallet"), (job) -> TASK.milliCores()));
		List<WorkerSnapshot> snapshots = new ArrayList<>();
		for (int i = 0; i < workers; i++) {
			for (String job : List.of("job-1", "job-2")) {
				penalties.observe("worker-" + i, new PairObservation("lunchwallet", job, new JobEffect(0.05, 0.1)));
			}
			snapshots.add(new WorkerSnapshot("worker-" + i, "rack-" + i / 20, "domain", CAPACITY, CAPACITY, 300,
					Map.of("job-1", 4, "job-2", 4)));
		}
		JobSpecification job = new JobSpecification("job-1", "team", 10, TASK, Duration.ofMinutes(5), 5, false, true,
				Optional.empty(), Spread.NONE);
		PlacementRequest request = new PlacementRequest(job, TASK);
		return () -> policy.choose(request, snapshots);
	}

}
