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
 * Measures within this process how the costs of control grow with the number of attempts
 * or workers.
 */
final class SlopeMeasurement {

	private static final Resources WORKER_CAPACITY = new Resources(32_000, 125_000, 2);

	private static final Resources TASK_SIZE = new Resources(2000, 4000, 0);

	private static final int REQUESTS_PER_INTERVAL = 30;

	private static final int REPETITIONS = 3000;

	private final Clock clock;

	SlopeMeasurement(Clock clock) {
		this.clock = clock;
	}

	List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(new Slope("worker report on the wire", "bytes", "attempts", 0, reportBytes(0), 16, reportBytes(16)));
		slopes.add(slope("encoding of a worker report", "attempts", 0, 16, this::reportEncoding));
		slopes.add(slope("interference control of one interval", "attempts", 0, 16, this::interferenceControl));
		slopes.add(slope("placement of one task", "workers", 100, 860, this::taskPlacement));
		return slopes;
	}

	private static double reportBytes(int attemptCount) {
		return SampleMessages.workerReport(attemptCount).getSerializedSize();
	}

	private Slope slope(String name, String sizeUnit, int smallSize, int largeSize, IntFunction<Runnable> operations) {
		return new Slope(name, "microseconds", sizeUnit, smallSize, meanMicroseconds(operations.apply(smallSize)),
				largeSize, meanMicroseconds(operations.apply(largeSize)));
	}

	private double meanMicroseconds(Runnable operation) {
		repeat(operation);
		long start = this.clock.nanoTime();
		repeat(operation);
		return (this.clock.nanoTime() - start) / 1000.0 / REPETITIONS;
	}

	private static void repeat(Runnable operation) {
		for (int i = 0; i < REPETITIONS; i++) {
			operation.run();
		}
	}

	private Runnable reportEncoding(int attemptCount) {
		return () -> SampleMessages.workerReport(attemptCount).toByteArray();
	}

	private Runnable interferenceControl(int attemptCount) {
		VirtualTime time = new VirtualTime(Instant.EPOCH);
		ServiceLatencyWindow window = new ServiceLatencyWindow(time);
		List<ControlledAttempt> running = new ArrayList<>();
		for (int i = 0; i < attemptCount; i++) {
			running.add(new ControlledAttempt(new AttemptKey("task-" + i, 1), "job-" + i, TASK_SIZE));
		}
		InterferenceController controller = new InterferenceController(InterferenceSettings.DEFAULT, time,
				WORKER_CAPACITY, window, EffectPriors.NONE, () -> running, (attempt, percent) -> {
				}, (request) -> {
				});
		ServiceObjective objective = new ServiceObjective(Duration.ofMillis(150), 0.99, 0.999);
		return () -> {
			for (int i = 0; i < REQUESTS_PER_INTERVAL; i++) {
				window.record(Duration.ofMillis(20 + i));
			}
			controller.control("lunchwallet", objective);
			time.advance(InterferenceSettings.DEFAULT.interval());
		};
	}

	private Runnable taskPlacement(int workerCount) {
		PairPenalties penalties = new PairPenalties(PairPenaltySettings.DEFAULT, new VirtualTime(Instant.EPOCH));
		PlacementPolicy policy = new DefaultPlacementPolicy(new LearnedPairPenalty(penalties,
				(worker) -> Optional.of("lunchwallet"), (job) -> TASK_SIZE.milliCores()));
		List<WorkerSnapshot> snapshots = new ArrayList<>();
		for (int i = 0; i < workerCount; i++) {
			for (String job : List.of("job-1", "job-2")) {
				penalties.observe("worker-" + i, new PairObservation("lunchwallet", job, new JobEffect(0.05, 0.1)));
			}
			snapshots.add(new WorkerSnapshot("worker-" + i, "rack-" + i / 20, "domain", WORKER_CAPACITY,
					WORKER_CAPACITY, 300, Map.of("job-1", 4, "job-2", 4)));
		}
		JobSpecification job = new JobSpecification("job-1", "team", 10, TASK_SIZE, Duration.ofMinutes(5), 5, false,
				true, Optional.empty(), Spread.NONE);
		PlacementRequest request = new PlacementRequest(job, TASK_SIZE);
		return () -> policy.choose(request, snapshots);
	}

}
