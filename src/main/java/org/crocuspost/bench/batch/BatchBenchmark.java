package org.crocuspost.bench.batch;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.HdrHistogram.Histogram;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.FirstFitPlacementPolicy;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.placement.PlacementRequest;
import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.scheduler.SchedulingSettings;
import org.crocuspost.standin.StoreCounts;
import org.crocuspost.standin.worker.RunRecord;
import org.crocuspost.standin.worker.TaskBehavior;

/**
 * Measures the batch scheduler on stand-ins in virtual time. The arguments are names of
 * measurements: {@code starts} (one hour), {@code starts-brief} (ten minutes),
 * {@code urgent}, {@code takeover}, {@code placement} and {@code domain}. Without
 * arguments, all of them run except {@code starts-brief}.
 */
public final class BatchBenchmark {

	private static final List<String> DOMAINS = List.of("d1", "d2", "d3", "d4", "d5", "d6", "d7");

	private static final int WORKER_COUNT = 860;

	private static final Resources WORKER_CAPACITY = new Resources(32_000, 125_000, 2);

	private static final Resources TASK_SIZE = new Resources(2000, 4000, 0);

	private static final Resources URGENT_TASK_SIZE = new Resources(4000, 8000, 0);

	private static final double HIGH_PERCENTILE = 99.9;

	private final PrintStream output;

	private BatchBenchmark(PrintStream output) {
		this.output = output;
	}

	/**
	 * Runs the measurements.
	 * @param arguments the names of the measurements; empty for all
	 */
	public static void main(String[] arguments) {
		BatchBenchmark benchmark = new BatchBenchmark(System.out);
		List<String> selected = (arguments.length > 0) ? List.of(arguments)
				: List.of("placement", "takeover", "urgent", "domain", "starts");
		selected.forEach(benchmark::run);
	}

	private void run(String name) {
		switch (name) {
			case "starts" -> measureStarts(Duration.ofHours(1));
			case "starts-brief" -> measureStarts(Duration.ofMinutes(10));
			case "urgent" -> measureUrgentStarts();
			case "takeover" -> measureTakeover();
			case "placement" -> measurePlacement();
			case "domain" -> measureDomainOutage();
			default -> throw new IllegalArgumentException("unknown measurement " + name);
		}
	}

	// Declares jobs with 63 tasks per second and counts the calls of the table.
	private void measureStarts(Duration duration) {
		Duration runTime = Duration.ofSeconds(100);
		BatchDeployment deployment = deployment(WORKER_COUNT, runTime, new DefaultPlacementPolicy(PairPenalty.NONE));
		deployment.advance(Duration.ofSeconds(10));
		List<JobSpecification> jobs = new ArrayList<>();
		StoreCounts before = deployment.table().counts();
		Duration interval = Duration.ofSeconds(20);
		int rounds = (int) (duration.toSeconds() / interval.toSeconds());
		for (int index = 0; index < rounds; index++) {
			jobs.add(job("job-" + index, 63 * (int) interval.toSeconds(), TASK_SIZE, false));
			deployment.configuration().declare(jobs.get(index));
			deployment.advance(interval);
		}
		StoreCounts calls = deployment.table().counts().since(before);
		double seconds = duration.toSeconds();
		this.output.printf(
				"starts: %.1f starts/s, %.1f transactions/s, %.1f rows written/s, %.1f reads/s, %.1f rows read/s%n",
				deployment.history().size() / seconds, calls.writes() / seconds, calls.itemsWritten() / seconds,
				calls.reads() / seconds, calls.itemsRead() / seconds);
	}

	/**
	 * Fills all workers with batch tasks, then declares urgent jobs and measures the time
	 * from declaration to start.
	 */
	private void measureUrgentStarts() {
		BatchDeployment deployment = deployment(WORKER_COUNT, Duration.ofHours(2),
				new DefaultPlacementPolicy(PairPenalty.NONE));
		deployment.configuration().declare(job("filler", 8000, URGENT_TASK_SIZE, false));
		deployment.advance(Duration.ofMinutes(3));
		Histogram milliseconds = new Histogram(3);
		int notStarted = 0;
		for (int index = 0; index < 100; index++) {
			Instant declaredAt = deployment.time().instant();
			JobSpecification job = job("urgent-" + index, 10, URGENT_TASK_SIZE, true);
			deployment.configuration().declare(job);
			deployment.advance(Duration.ofMillis(4000 + 37 * (index % 11)));
			List<RunRecord> runs = runs(deployment, job.name());
			notStarted += job.count() - runs.size();
			runs.forEach((run) -> milliseconds.recordValue(Duration.between(declaredAt, run.started()).toMillis()));
		}
		this.output.printf("urgent: %d starts, %d not started within 4 s, p50 %d ms, p99.9 %d ms, max %d ms%n",
				milliseconds.getTotalCount(), notStarted, milliseconds.getValueAtPercentile(50),
				milliseconds.getValueAtPercentile(HIGH_PERCENTILE), milliseconds.getMaxValue());
	}

	/**
	 * Repeatedly kills the scheduler that holds all shards and measures the time until
	 * the first task of a new job starts.
	 */
	private void measureTakeover() {
		Histogram milliseconds = new Histogram(3);
		BatchDeployment deployment = deployment(WORKER_COUNT, Duration.ofSeconds(100),
				new DefaultPlacementPolicy(PairPenalty.NONE));
		deployment.advance(Duration.ofSeconds(10));
		deployment.configuration().declare(job("before", 6900, TASK_SIZE, false));
		deployment.advance(Duration.ofSeconds(60));
		for (int index = 0; index < 20; index++) {
			deployment.advance(Duration.ofMillis(113 * index));
			Instant killedAt = deployment.time().instant();
			deployment.killScheduler(shardHolder(deployment));
			JobSpecification job = job("after-" + index, DOMAINS.size() * 20, TASK_SIZE, false);
			deployment.configuration().declare(job);
			deployment.advance(Duration.ofSeconds(20));
			runs(deployment, job.name()).stream()
				.min(Comparator.comparing(RunRecord::started))
				.ifPresent((run) -> milliseconds.recordValue(Duration.between(killedAt, run.started()).toMillis()));
			deployment.startScheduler();
			deployment.advance(Duration.ofSeconds(10));
		}
		this.output.printf("takeover: %d of 20, first start after p50 %d ms, max %d ms%n", milliseconds.getTotalCount(),
				milliseconds.getValueAtPercentile(50), milliseconds.getMaxValue());
	}

	/**
	 * Measures the time of single placement decisions for several numbers of workers.
	 */
	private void measurePlacement() {
		for (int workers : new int[] { 860, 1720, 4300, 8600 }) {
			measurePlacement(workers, new FirstFitPlacementPolicy());
			measurePlacement(workers, new DefaultPlacementPolicy(PairPenalty.NONE));
		}
	}

	private void measurePlacement(int workers, PlacementPolicy policy) {
		Histogram microseconds = new Histogram(3);
		int decisions = 20_000;
		int warmUp = 5000;
		List<WorkerSnapshot> snapshots = List.of();
		PlacementRequest request = new PlacementRequest(job("job", 100, TASK_SIZE, false), TASK_SIZE);
		for (int index = 0; index < decisions; index++) {
			if (index % (workers * 8) == 0) {
				snapshots = snapshots(workers);
			}
			long start = System.nanoTime();
			OptionalInt chosen = policy.choose(request, snapshots);
			long elapsed = System.nanoTime() - start;
			int worker = chosen.orElseThrow();
			snapshots.set(worker, snapshots.get(worker).withTask("job", TASK_SIZE));
			if (index >= warmUp) {
				microseconds.recordValue(elapsed / 1000);
			}
		}
		this.output.printf("placement: %s, %d workers, mean %.1f us, p50 %d us, p99 %d us, max %d us%n",
				policy.getClass().getSimpleName(), workers, microseconds.getMean(),
				microseconds.getValueAtPercentile(50), microseconds.getValueAtPercentile(99),
				microseconds.getMaxValue());
	}

	private static List<WorkerSnapshot> snapshots(int workers) {
		List<WorkerSnapshot> snapshots = new ArrayList<>();
		for (int index = 0; index < workers; index++) {
			snapshots.add(new WorkerSnapshot("w" + index, "r" + index / 3, DOMAINS.get(index % DOMAINS.size()),
					WORKER_CAPACITY, WORKER_CAPACITY, 0, Map.of()));
		}
		return snapshots;
	}

	/**
	 * Takes a failure domain out of service for ten of thirty minutes and compares the
	 * work done with the capacity that remained. The baseline is first fit with declared
	 * sizes.
	 */
	private void measureDomainOutage() {
		SchedulingSettings learnedSizes = SchedulingSettings.defaults(DOMAINS);
		PlacementPolicy policy = new DefaultPlacementPolicy(PairPenalty.NONE);
		measureDomainOutage("sizes right, default", learnedSizes, policy, TASK_SIZE);
		measureDomainOutage("sizes right, first fit", learnedSizes.withDeclaredSizes(), new FirstFitPlacementPolicy(),
				TASK_SIZE);
		measureDomainOutage("declared twice the size, default", learnedSizes, policy, URGENT_TASK_SIZE);
		measureDomainOutage("declared twice the size, first fit", learnedSizes.withDeclaredSizes(),
				new FirstFitPlacementPolicy(), URGENT_TASK_SIZE);
	}

	private void measureDomainOutage(String name, SchedulingSettings settings, PlacementPolicy policy,
			Resources declaredSize) {
		int workers = 210;
		BatchDeployment deployment = deployment(settings, workers, Duration.ofSeconds(90), policy);
		deployment.configuration().declare(job("work", 500_000, declaredSize, false));
		deployment.advance(Duration.ofMinutes(3));
		Instant start = deployment.time().instant();
		double before = completedSeconds(deployment);
		deployment.advance(Duration.ofMinutes(10));
		deployment.configuration().takeOutOfService("d3");
		deployment.advance(Duration.ofMinutes(10));
		deployment.configuration().returnToService("d3");
		deployment.advance(Duration.ofMinutes(10));
		double completed = completedSeconds(deployment) - before;
		double seconds = Duration.between(start, deployment.time().instant()).toSeconds();
		double slots = workers * (double) (WORKER_CAPACITY.milliCores() / TASK_SIZE.milliCores());
		double lostSeconds = (double) Duration.ofMinutes(10).toSeconds() / DOMAINS.size();
		double availableSlotSeconds = slots * (seconds - lostSeconds);
		long evictions = deployment.history().stream().filter((run) -> run.phase() == Phase.STOPPED).count();
		this.output.printf("domain out and in: %s, %.2f %% of the remaining capacity used, %d evictions%n", name,
				100 * completed / availableSlotSeconds, evictions);
	}

	private static double completedSeconds(BatchDeployment deployment) {
		return deployment.history()
			.stream()
			.mapToDouble((run) -> run.progress().minus(run.startProgress()).toMillis() / 1000.0)
			.sum();
	}

	private static BatchDeployment deployment(int workers, Duration runTime, PlacementPolicy policy) {
		return deployment(SchedulingSettings.defaults(DOMAINS), workers, runTime, policy);
	}

	private static BatchDeployment deployment(SchedulingSettings settings, int workers, Duration runTime,
			PlacementPolicy policy) {
		BatchDeployment deployment = new BatchDeployment(settings,
				(start) -> new TaskBehavior(runTime, new Resources(2000, 4000, 0), false), policy);
		for (int index = 0; index < DOMAINS.size(); index++) {
			int count = workers / DOMAINS.size() + ((index < workers % DOMAINS.size()) ? 1 : 0);
			deployment.addWorkers(DOMAINS.get(index), count, WORKER_CAPACITY);
		}
		deployment.startScheduler();
		deployment.startScheduler();
		return deployment;
	}

	private static String shardHolder(BatchDeployment deployment) {
		return deployment.schedulers()
			.stream()
			.filter((scheduler) -> scheduler.scheduler().heldEpoch("d1").isDefined())
			.findFirst()
			.orElseThrow()
			.identity()
			.name();
	}

	private static List<RunRecord> runs(BatchDeployment deployment, String job) {
		return deployment.history().stream().filter((run) -> run.job().equals(job)).toList();
	}

	private static JobSpecification job(String name, int count, Resources size, boolean urgent) {
		return new JobSpecification(name, "team", count, size, Duration.ofSeconds(100), urgent ? 0 : 5, urgent, true,
				Optional.empty(), JobSpecification.Spread.NONE);
	}

}
