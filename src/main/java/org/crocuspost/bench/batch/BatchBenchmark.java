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
 * Measures the batch scheduler on stand-ins in virtual time. Arguments name the
 * measurements: {@code starts} (an hour), {@code starts-brief} (ten minutes),
 * {@code urgent}, {@code takeover}, {@code placement}, {@code domain}; none means all.
 */
public final class BatchBenchmark {

	private static final List<String> DOMAINS = List.of("d1", "d2", "d3", "d4", "d5", "d6", "d7");

	private static final int WORKERS = 860;

	private static final Resources WORKER = new Resources(32_000, 125_000, 2);

	private static final Resources TASK = new Resources(2000, 4000, 0);

	private static final Resources URGENT_TASK = new Resources(4000, 8000, 0);

	private static final double HIGH_PERCENTILE = 99.9;

	private final PrintStream output;

	private BatchBenchmark(PrintStream output) {
		this.output = output;
	}

	/**
	 * Runs the measurements.
	 * @param arguments the names of the measurements
	 */
	public static void main(String[] arguments) {
		BatchBenchmark benchmark = new BatchBenchmark(System.out);
		List<String> chosen = (arguments.length > 0) ? List.of(arguments)
				: List.of("placement", "takeover", "urgent", "domain", "starts");
		chosen.forEach(benchmark::run);
	}

	private void run(String name) {
		switch (name) {
			case "starts" -> starts(Duration.ofHours(1));
			case "starts-brief" -> starts(Duration.ofMinutes(10));
			case "urgent" -> urgent();
			case "takeover" -> takeover();
			case "placement" -> placement();
			case "domain" -> domain();
			default -> throw new IllegalArgumentException("unknown measurement " + name);
		}
	}

	// Declares jobs with 63 tasks a second and counts the table's calls.
	private void starts(Duration length) {
		Duration runTime = Duration.ofSeconds(100);
		BatchDeployment deployment = deployment(WORKERS, runTime, new DefaultPlacementPolicy(PairPenalty.NONE));
		deployment.advance(Duration.ofSeconds(10));
		List<JobSpecification> jobs = new ArrayList<>();
		StoreCounts before = deployment.table().counts();
		Duration interval = Duration.ofSeconds(20);
		int rounds = (int) (length.toSeconds() / interval.toSeconds());
		for (int index = 0; index < rounds; index++) {
			jobs.add(job("job-" + index, 63 * (int) interval.toSeconds(), TASK, false));
			deployment.configuration().declare(jobs.get(index));
			deployment.advance(interval);
		}
		StoreCounts calls = deployment.table().counts().since(before);
		double seconds = length.toSeconds();
		this.output.printf(
				"starts: %.1f starts/s, %.1f transactions/s, %.1f rows written/s, %.1f reads/s, %.1f rows read/s%n",
				deployment.history().size() / seconds, calls.writes() / seconds, calls.itemsWritten() / seconds,
				calls.reads() / seconds, calls.itemsRead() / seconds);
	}

	/**
	 * Fills the fleet, then declares urgent jobs and takes the time from declaration to
	 * start.
	 */
	private void urgent() {
		BatchDeployment deployment = deployment(WORKERS, Duration.ofHours(2),
				new DefaultPlacementPolicy(PairPenalty.NONE));
		deployment.configuration().declare(job("filler", 8000, URGENT_TASK, false));
		deployment.advance(Duration.ofMinutes(3));
		Histogram milliseconds = new Histogram(3);
		int missing = 0;
		for (int index = 0; index < 100; index++) {
			Instant declared = deployment.time().instant();
			JobSpecification job = job("urgent-" + index, 10, URGENT_TASK, true);
			deployment.configuration().declare(job);
			deployment.advance(Duration.ofMillis(4000 + 37 * (index % 11)));
			List<RunRecord> runs = runs(deployment, job.name());
			missing += job.count() - runs.size();
			runs.forEach((run) -> milliseconds.recordValue(Duration.between(declared, run.started()).toMillis()));
		}
		this.output.printf("urgent: %d starts, %d not started within 4 s, p50 %d ms, p99.9 %d ms, max %d ms%n",
				milliseconds.getTotalCount(), missing, milliseconds.getValueAtPercentile(50),
				milliseconds.getValueAtPercentile(HIGH_PERCENTILE), milliseconds.getMaxValue());
	}

	/**
	 * Kills the holder of all shards again and again and takes the time until a new task
	 * starts.
	 */
	private void takeover() {
		Histogram milliseconds = new Histogram(3);
		BatchDeployment deployment = deployment(WORKERS, Duration.ofSeconds(100),
				new DefaultPlacementPolicy(PairPenalty.NONE));
		deployment.advance(Duration.ofSeconds(10));
		deployment.configuration().declare(job("before", 6900, TASK, false));
		deployment.advance(Duration.ofSeconds(60));
		for (int index = 0; index < 20; index++) {
			deployment.advance(Duration.ofMillis(113 * index));
			Instant killed = deployment.time().instant();
			deployment.killScheduler(holder(deployment));
			JobSpecification job = job("after-" + index, DOMAINS.size() * 20, TASK, false);
			deployment.configuration().declare(job);
			deployment.advance(Duration.ofSeconds(20));
			runs(deployment, job.name()).stream()
				.min(Comparator.comparing(RunRecord::started))
				.ifPresent((run) -> milliseconds.recordValue(Duration.between(killed, run.started()).toMillis()));
			deployment.startScheduler();
			deployment.advance(Duration.ofSeconds(10));
		}
		this.output.printf("takeover: %d of 20, first start after p50 %d ms, max %d ms%n", milliseconds.getTotalCount(),
				milliseconds.getValueAtPercentile(50), milliseconds.getMaxValue());
	}

	/**
	 * Takes the time of single placement decisions at several fleet sizes.
	 */
	private void placement() {
		for (int workers : new int[] { 860, 1720, 4300, 8600 }) {
			placement(workers, new FirstFitPlacementPolicy());
			placement(workers, new DefaultPlacementPolicy(PairPenalty.NONE));
		}
	}

	private void placement(int workers, PlacementPolicy policy) {
		Histogram microseconds = new Histogram(3);
		int decisions = 20_000;
		int warmUp = 5000;
		List<WorkerSnapshot> snapshots = List.of();
		PlacementRequest request = new PlacementRequest(job("job", 100, TASK, false), TASK);
		for (int index = 0; index < decisions; index++) {
			if (index % (workers * 8) == 0) {
				snapshots = snapshots(workers);
			}
			long start = System.nanoTime();
			OptionalInt chosen = policy.choose(request, snapshots);
			long elapsed = System.nanoTime() - start;
			int worker = chosen.orElseThrow();
			snapshots.set(worker, snapshots.get(worker).withTask("job", TASK));
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
			snapshots.add(new WorkerSnapshot("w" + index, "r" + index / 3, DOMAINS.get(index % DOMAINS.size()), WORKER,
					WORKER, 0, Map.of()));
		}
		return snapshots;
	}

	/**
	 * Takes a failure domain out for ten minutes of thirty and compares the work done
	 * with the capacity that remained, beside first fit on declared sizes.
	 */
	private void domain() {
		SchedulingSettings learned = SchedulingSettings.defaults(DOMAINS);
		PlacementPolicy policy = new DefaultPlacementPolicy(PairPenalty.NONE);
		domain("sizes right, default", learned, policy, TASK);
		domain("sizes right, first fit", learned.withDeclaredSizes(), new FirstFitPlacementPolicy(), TASK);
		domain("declared twice the size, default", learned, policy, URGENT_TASK);
		domain("declared twice the size, first fit", learned.withDeclaredSizes(), new FirstFitPlacementPolicy(),
				URGENT_TASK);
	}

	private void domain(String name, SchedulingSettings settings, PlacementPolicy policy, Resources declared) {
		int workers = 210;
		BatchDeployment deployment = deployment(settings, workers, Duration.ofSeconds(90), policy);
		deployment.configuration().declare(job("work", 500_000, declared, false));
		deployment.advance(Duration.ofMinutes(3));
		Instant start = deployment.time().instant();
		double before = work(deployment);
		deployment.advance(Duration.ofMinutes(10));
		deployment.configuration().takeOut("d3");
		deployment.advance(Duration.ofMinutes(10));
		deployment.configuration().takeIn("d3");
		deployment.advance(Duration.ofMinutes(10));
		double done = work(deployment) - before;
		double seconds = Duration.between(start, deployment.time().instant()).toSeconds();
		double slots = workers * (double) (WORKER.milliCores() / TASK.milliCores());
		double outShare = (double) Duration.ofMinutes(10).toSeconds() / DOMAINS.size();
		double possible = slots * (seconds - outShare);
		long stopped = deployment.history().stream().filter((run) -> run.phase() == Phase.STOPPED).count();
		this.output.printf("domain out and in: %s, %.2f %% of the remaining capacity used, %d evictions%n", name,
				100 * done / possible, stopped);
	}

	private static double work(BatchDeployment deployment) {
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
			deployment.addWorkers(DOMAINS.get(index), count, WORKER);
		}
		deployment.startScheduler();
		deployment.startScheduler();
		return deployment;
	}

	private static String holder(BatchDeployment deployment) {
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
