package org.crocuspost.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.crocuspost.host.PaceController;
import org.crocuspost.host.PaceSettings;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.StopOrder;
import org.crocuspost.wire.TaskTraits;
import org.crocuspost.wire.WorkerDescription;

/**
 * Plays services, short jobs and fillers on simulated workers, with the real dispatcher
 * and the real pace control, on virtual time.
 *
 * <p>
 * Load pattern: services reserve four fifths of the capacity and use half of what they
 * reserve. Fillers need a third of the capacity; 55% of their images raise the tail
 * latency of services many times as much as the others. The report of a load covers the
 * last half second and reaches the leader at intervals.
 */
final class MixedLoadSimulation {

	private static final Duration TICK = Duration.ofMillis(50);

	private static final int REPORT_TICKS = 4;

	private static final Duration START_UP = Duration.ofMillis(100);

	private static final double LOAD_SMOOTHING = 0.15;

	private static final double TAIL_MILLIS = 150;

	private static final double STRAGGLER_FACTOR = 7;

	private static final String SHORT_QUEUE = "short";

	private static final String FILLER_QUEUE = "filler";

	private static final String SERVICE_QUEUE = "lasting";

	private static final List<Queue> QUEUES = List.of(
			new Queue(SHORT_QUEUE, "host", "/short/", "service", 0, 2, 1.5, Duration.ofMillis(300), false),
			new Queue(FILLER_QUEUE, "host", "/filler/", "service", 2, 3, 2, Duration.ofSeconds(1), false),
			new Queue(SERVICE_QUEUE, "host", "/lasting/", "service", 0, 2, 2.2, Duration.ofMillis(2_500), false));

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	private final ImagePressure imagePressure = new ImagePressure();

	private final Dispatcher dispatcher;

	private final ReportProcessor reports;

	private final SplittableRandom random;

	private final long seed;

	private int submittedServices;

	private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();

	private final Map<String, Double> imageWeights = new HashMap<>();

	private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();

	private final Load load;

	private long startedFillers;

	private long earlyStops;

	private long missedTargetTicks;

	private long serviceTicks;

	private long stoppedServices;

	private long ticks;

	private long freeWorkerTicks;

	private long spareWorkerTicks;

	MixedLoadSimulation(long seed, Load load) {
		this.random = new SplittableRandom(seed);
		this.seed = seed;
		this.load = load;
		this.dispatcher = new Dispatcher(new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(3), 1.5),
				new DefaultPlacementPolicy(this.imagePressure), this.time, new SilentDispatchListener());
		this.dispatcher.configure(new QueueConfiguration(1, QUEUES, List.of(), 1_000));
		this.reports = new ReportProcessor(this.dispatcher, this.imagePressure);
		for (int number = 0; number < load.fleet().images(); number++) {
			boolean heavy = number < load.fleet().heavyImages();
			this.imageWeights.put("image-" + number,
					heavy ? 15 + 25 * this.random.nextDouble() : 0.5 + 2 * this.random.nextDouble());
		}
		for (int number = 0; number < load.fleet().hosts(); number++) {
			int milliCores = load.fleet().workerMilliCores();
			SimulatedHost host = new SimulatedHost("host-" + number,
					(number % 3 == 2) ? milliCores * 3 / 2 : milliCores);
			this.hosts.put(host.name, host);
		}
	}

	/**
	 * Plays the load.
	 * @param duration the duration of the load; services start 10 s before it
	 * @return the result
	 */
	Result run(Duration duration) {
		for (int number = 0; number < this.load.fleet().services(); number++) {
			submitService();
		}
		play(Duration.ofSeconds(10), false);
		play(duration, true);
		play(Duration.ofSeconds(10), false);
		return result();
	}

	private void play(Duration duration, boolean traffic) {
		for (long tick = 0; tick < duration.dividedBy(TICK); tick++) {
			double seconds = TICK.toMillis() / 1_000.0;
			if (traffic) {
				for (double due = this.load.shortPerSecond() * seconds; due > this.random.nextDouble(); due--) {
					submitShort();
				}
				changeServices(seconds);
				for (double due = this.load.fillersPerSecond() * seconds; due > this.random.nextDouble(); due--) {
					submitFiller();
				}
			}
			this.time.advance(TICK);
			int phase = 0;
			for (SimulatedHost host : this.hosts.values()) {
				host.advance(seconds);
				if (host.hasNewEnds || (tick + phase++) % REPORT_TICKS == 0) {
					host.report();
				}
			}
			schedule();
			this.ticks += traffic ? 1 : 0;
			this.freeWorkerTicks += traffic ? this.dispatcher.load().workersWithoutServices() : 0;
			this.spareWorkerTicks += traffic ? spareWorkers() : 0;
			this.jobs.values().forEach(SubmittedJob::noticeEnd);
		}
	}

	private int spareWorkers() {
		return this.dispatcher.load()
			.servicePackings()
			.stream()
			.mapToInt((packing) -> packing.workers() - packing.fewestWorkers())
			.sum();
	}

	private void schedule() {
		this.dispatcher.schedule();
		while (this.dispatcher.hasChanges()) {
			DispatchBatch batch = this.dispatcher.takeBatch(90, Integer.MAX_VALUE);
			this.dispatcher.recorded(batch, true)
				.forEach((host, orders) -> orders.forEach(this.hosts.get(host)::start));
		}
	}

	/**
	 * Returns how much an image presses on services now; it changes within seconds.
	 */
	private double weight(String image, String service) {
		double phase = Math.floorMod(image.hashCode(), 100) / 100.0;
		double seconds = this.time.nanoTime() / 1e9;
		boolean sensitive = new SplittableRandom(this.seed + (image + ' ' + service).hashCode())
			.nextDouble() < this.load.interference().sensitiveShare();
		double weight = sensitive ? this.imageWeights.get(image)
				: Math.min(this.load.interference().lightWeight(), this.imageWeights.get(image));
		return weight * Math.exp(0.6 * Math.sin(2 * Math.PI * (seconds / 12 + phase)));
	}

	private double vary(double mean, double spread, double most) {
		double factor = 1 + spread * 2 * (this.random.nextDouble() - 0.5);
		return Math.min(most, mean * factor);
	}

	private void submit(String queue, List<StepSpecification> steps, double workSeconds) {
		String id = String.format("%016x", this.random.nextLong());
		JobSubmission submission = new JobSubmission(id, queue, this.time.millis(),
				new JobSpecification("text", steps, 1, false, 0, 0));
		this.jobs.put(id, new SubmittedJob(submission, this.time.nanoTime(), workSeconds));
		this.dispatcher.submitted(submission, Optional.empty());
	}

	private static StepSpecification step(int tasks, double milliCores, double memory, Duration estimate,
			List<Integer> predecessors, boolean checkpointing, int perWorker, String image, int tailTarget,
			boolean filler) {
		return new StepSpecification(tasks, (int) milliCores, (int) memory, 0, estimate, predecessors, checkpointing,
				false, false, "", "", perWorker, false, tailTarget > 0, image, Duration.ofMillis(tailTarget), filler,
				-1);
	}

	private void submitService() {
		int width = (int) vary(this.load.fleet().serviceTasks(), 0.4, 48);
		double milliCores = this.load.fleet().sizes().serviceMilliCores();
		submit(SERVICE_QUEUE, List.of(step(width, vary(milliCores, 0.25, milliCores * 25 / 16), milliCores * 65 / 32,
				Duration.ZERO, List.of(), false, this.random.nextBoolean() ? 2 : 0,
				"service-" + this.submittedServices++ % this.load.interference().services(), (int) TAIL_MILLIS, false)),
				0);
	}

	/**
	 * Lets services come and go, if the load says so.
	 */
	private void changeServices(double seconds) {
		double arrivals = this.load.serviceChangesPerSecond() * seconds;
		if (arrivals <= 0) {
			return;
		}
		if (!this.load.servicesStay() && arrivals > this.random.nextDouble()) {
			this.jobs.values()
				.stream()
				.filter((job) -> job.submission.queue().equals(SERVICE_QUEUE))
				.map((job) -> job.submission.id())
				.filter((id) -> this.dispatcher.job(id).filter((job) -> !job.state().terminal()).isPresent())
				.findFirst()
				.ifPresent(this.dispatcher::cancelled);
		}
		if (arrivals > this.random.nextDouble()) {
			submitService();
		}
	}

	private static Duration estimate(double seconds) {
		return Duration.ofMillis((long) (seconds * 1_000));
	}

	private void submitShort() {
		List<StepSpecification> steps = new ArrayList<>();
		double milliCores = vary(this.load.fleet().shortMilliCores(), 0.45, 3_900);
		int count = (this.random.nextInt(10) < 6) ? 2 : 1;
		for (int number = 0; number < count; number++) {
			steps.add(step(1 + this.random.nextInt(this.load.fleet().mostShortTasks()), milliCores, 2_600,
					estimate(0.965 * this.load.fleet().sizes().shortSeconds()), (number == 0) ? List.of() : List.of(0),
					false, 0, "", 0, false));
		}
		submit(SHORT_QUEUE, steps, this.load.fleet().sizes().shortSeconds());
	}

	private void submitFiller() {
		List<StepSpecification> steps = new ArrayList<>();
		Sizes sizes = this.load.fleet().sizes();
		double milliCores = vary(sizes.fillerMilliCores(), 0.3, 2 * sizes.fillerMilliCores());
		double work = vary(sizes.fillerSeconds(), 0.5, sizes.fillerSeconds() * 6 / 2.43);
		for (int number = 0; number < 2; number++) {
			steps.add(step(Math.max(1, (int) vary(this.load.fleet().fillerTasks(), 0.6, 110)), milliCores,
					sizes.fillerMegabytes(),
					estimate(work * (1 + sizes.estimateError() * 2 * (this.random.nextDouble() - 0.5))),
					(number == 0) ? List.of() : List.of(0), this.random.nextInt(100) < 85, 0,
					"image-" + this.random.nextInt(this.load.fleet().images()), 0, true));
		}
		submit(FILLER_QUEUE, steps, work);
	}

	private static double served(List<SubmittedJob> jobs) {
		return jobs.stream().mapToDouble((job) -> job.credit() / job.worth()).average().orElse(0);
	}

	private Result result() {
		Map<String, Double> owed = new HashMap<>();
		Map<String, Double> earned = new HashMap<>();
		for (SubmittedJob job : this.jobs.values()) {
			String queue = job.submission.queue();
			if (!queue.equals(SERVICE_QUEUE)) {
				owed.merge(queue, job.worth(), Double::sum);
				earned.merge(queue, job.credit(), Double::sum);
			}
		}
		List<SubmittedJob> fillerJobs = this.jobs.values()
			.stream()
			.filter((job) -> job.submission.queue().equals(FILLER_QUEUE))
			.sorted(Comparator.comparingDouble((SubmittedJob job) -> -job.worth()))
			.toList();
		int tenth = fillerJobs.size() / 10;
		return new Result(earned.get(SHORT_QUEUE) / owed.get(SHORT_QUEUE),
				earned.get(FILLER_QUEUE) / owed.get(FILLER_QUEUE), served(fillerJobs),
				served(fillerJobs.subList(0, tenth)), served(fillerJobs.subList(tenth, 3 * tenth)),
				this.earlyStops / (double) Math.max(1, this.startedFillers),
				this.missedTargetTicks / (double) Math.max(1, this.serviceTicks),
				this.freeWorkerTicks / (double) Math.max(1, this.ticks),
				this.spareWorkerTicks / (double) Math.max(1, this.ticks), this.stoppedServices);
	}

	/**
	 * Workers, and the size of the jobs that they run.
	 *
	 * @param hosts the number of hosts
	 * @param services the number of jobs of services
	 * @param serviceTasks the mean number of tasks of a service
	 * @param shortMilliCores the mean processor capacity of a task of a short job
	 * @param mostShortTasks the maximum number of tasks of a step of a short job
	 * @param shortWork the mean work of a short job, in core-seconds
	 * @param fillerTasks the mean number of tasks of a step of fillers
	 * @param fillerWork the mean work of a job of fillers, in core-seconds
	 * @param images the number of images of fillers
	 * @param heavyImages the number of images that press hard on services
	 * @param workerMilliCores the processor capacity of two workers of three; the third
	 * has half as much again
	 * @param sizes the sizes of the tasks
	 */
	record Fleet(int hosts, int services, int serviceTasks, int shortMilliCores, int mostShortTasks, double shortWork,
			int fillerTasks, double fillerWork, int images, int heavyImages, int workerMilliCores, Sizes sizes) {

		static final Fleet LARGE = new Fleet(80, 16, 24, 1_300, 15, 19, 27, 400, 30, 17, 32_000, Sizes.DEFAULT);

		static final Fleet SMALL = new Fleet(11, 9, 6, 480, 11, 6.6, 8, 136, 9, 5, 32_000, Sizes.DEFAULT);

		static final Fleet FORECAST = new Fleet(50, 17, 14, 260, 19, 5.9, 20, 226, 18, 10, 16_000,
				new Sizes(3_200, 1.43, 1_800, 3_200, 3.14, 0.2, 0));

		static final Fleet LISTINGS = new Fleet(54, 18, 14, 280, 19, 5.4, 20, 195, 18, 10, 16_000,
				new Sizes(3_200, 1.21, 1_800, 3_200, 2.71, 0.5, 3));

		Fleet withHeavyImages(int number) {
			return new Fleet(this.hosts, this.services, this.serviceTasks, this.shortMilliCores, this.mostShortTasks,
					this.shortWork, this.fillerTasks, this.fillerWork, this.images, number, this.workerMilliCores,
					this.sizes);
		}

	}

	/**
	 * Sizes of tasks.
	 *
	 * @param serviceMilliCores the mean processor capacity of a task of a service
	 * @param shortSeconds the run time of a task of a short job
	 * @param fillerMilliCores the mean processor capacity of a filler
	 * @param fillerMegabytes the memory of a filler
	 * @param fillerSeconds the mean run time of a filler
	 * @param estimateError the maximum relative error of the estimates of fillers
	 * @param stragglersPercent the share of tasks that take seven times as long, in
	 * percent
	 */
	record Sizes(int serviceMilliCores, double shortSeconds, int fillerMilliCores, int fillerMegabytes,
			double fillerSeconds, double estimateError, int stragglersPercent) {

		static final Sizes DEFAULT = new Sizes(6_400, 1.14, 3_500, 6_400, 2.43, 0.3, 0);

	}

	/**
	 * How much fillers press on services.
	 *
	 * @param services the number of different services
	 * @param sensitiveShare the share of the services on which a heavy image presses hard
	 * @param lightWeight the maximum weight of an image on the other services
	 * @param basePressure the mean pressure on a service without fillers
	 */
	record Interference(int services, double sensitiveShare, double lightWeight, double basePressure) {

		/**
		 * Each image presses on all services alike.
		 */
		static final Interference UNIFORM = new Interference(1, 1, 0, 0.25);

		/**
		 * An image presses hard on some services and hardly on others, as observed on the
		 * workers of the large deployment.
		 */
		static final Interference PAIRWISE = new Interference(10, 0.4, 0.5, 0.37);

	}

	/**
	 * Size of the load.
	 *
	 * @param fleet the workers and the size of the jobs
	 * @param shortPerSecond the number of short jobs that arrive in a second
	 * @param fillersPerSecond the number of jobs of fillers that arrive in a second
	 * @param serviceChangesPerSecond the number of services that arrive in a second, and
	 * of those that end
	 * @param servicesStay whether services arrive and none ends
	 * @param interference how much fillers press on services
	 */
	record Load(Fleet fleet, double shortPerSecond, double fillersPerSecond, double serviceChangesPerSecond,
			boolean servicesStay, Interference interference) {

		/**
		 * The large fleet while services arrive, until they reserve nearly all of it.
		 */
		static final Load FILLING = new Load(Fleet.LARGE, 8.2, 2.4, 0.062, true, Interference.PAIRWISE);

		Load(Fleet fleet, double shortPerSecond, double fillersPerSecond, double serviceChangesPerSecond) {
			this(fleet, shortPerSecond, fillersPerSecond, serviceChangesPerSecond, false, Interference.UNIFORM);
		}

		static final Load LARGE = new Load(Fleet.LARGE, 8.2, 2.4, 0);

		static final Load SMALL = new Load(Fleet.SMALL, 3.12, 1.12, 0.05);

		static final Load FORECAST = new Load(Fleet.FORECAST, 8.26, 1.53, 0.066);

		static final Load LISTINGS = new Load(Fleet.LISTINGS, 7.29, 1.45, 0.062);

		Load scaled(double factor) {
			return new Load(this.fleet, this.shortPerSecond * factor, this.fillersPerSecond * factor,
					this.serviceChangesPerSecond, this.servicesStay, this.interference);
		}

		Load pairwise() {
			return new Load(this.fleet, this.shortPerSecond, this.fillersPerSecond, this.serviceChangesPerSecond,
					this.servicesStay, Interference.PAIRWISE);
		}

		Load withHeavyImages(int number) {
			return new Load(this.fleet.withHeavyImages(number), this.shortPerSecond, this.fillersPerSecond,
					this.serviceChangesPerSecond, this.servicesStay, this.interference);
		}

	}

	/**
	 * Result of a play.
	 *
	 * @param shortJobs the share of the credit that short jobs earned
	 * @param fillers the share of the credit that jobs of fillers earned
	 * @param servedFillers the share of the jobs of fillers that were served, where a
	 * late one counts less
	 * @param servedLargest the same of the largest tenth of these jobs
	 * @param servedLarge the same of the fifth below it
	 * @param earlyStops the share of the starts of fillers that were stopped within two
	 * seconds
	 * @param missedTargets the share of the time in which services missed their target
	 * @param freeWorkers the mean number of workers without services
	 * @param spareWorkers an upper bound of that number: the mean number of workers that
	 * the services would leave if their tasks could be divided
	 * @param movedServices the number of runs of services that were stopped to move them
	 */
	record Result(double shortJobs, double fillers, double servedFillers, double servedLargest, double servedLarge,
			double earlyStops, double missedTargets, double freeWorkers, double spareWorkers, long movedServices) {
	}

	private final class SubmittedJob {

		private final JobSubmission submission;

		private final long submittedNanos;

		private final double workSeconds;

		private long endedNanos;

		private SubmittedJob(JobSubmission submission, long submittedNanos, double workSeconds) {
			this.submission = submission;
			this.submittedNanos = submittedNanos;
			this.workSeconds = workSeconds;
		}

		private void noticeEnd() {
			if (this.endedNanos == 0) {
				MixedLoadSimulation.this.dispatcher.job(this.submission.id())
					.filter((job) -> job.state() == JobState.COMPLETED)
					.ifPresent((job) -> this.endedNanos = MixedLoadSimulation.this.time.nanoTime());
			}
		}

		private double worth() {
			double size = 0;
			for (StepSpecification step : this.submission.specification().steps()) {
				size += step.taskCount() * step.milliCores() / 1_000.0 * this.workSeconds;
			}
			double mean = this.submission.queue().equals(SHORT_QUEUE)
					? MixedLoadSimulation.this.load.fleet().shortWork()
					: MixedLoadSimulation.this.load.fleet().fillerWork();
			return Math.min(4, 0.3 + 0.7 * size / mean);
		}

		private double credit() {
			if (this.endedNanos == 0) {
				return 0;
			}
			Queue queue = QUEUES.stream()
				.filter((candidate) -> candidate.name().equals(this.submission.queue()))
				.findFirst()
				.orElseThrow();
			double chain = this.workSeconds * this.submission.specification().steps().size();
			double objective = queue.stretch() * chain + queue.targetLatency().toMillis() / 1_000.0;
			double taken = (this.endedNanos - this.submittedNanos) / 1e9;
			double share = (taken <= objective) ? 1 : (taken <= 3 * objective) ? 0.15 : 0;
			return worth() * share;
		}

	}

	private final class SimulatedRun {

		private final StartOrder order;

		private final TaskKey key;

		private final double workSeconds;

		private double doneSeconds;

		private int pace = 100;

		private double load;

		private final long startedNanos = MixedLoadSimulation.this.time.nanoTime();

		private SimulatedRun(StartOrder order) {
			this.order = order;
			this.key = TaskNames.key(order.getTask());
			SubmittedJob job = MixedLoadSimulation.this.jobs.get(this.key.job());
			int percentile = Math.floorMod(this.key.hashCode(), 100);
			double factor = (percentile < MixedLoadSimulation.this.load.fleet().sizes().stragglersPercent())
					? STRAGGLER_FACTOR : 0.85 + 0.3 * (percentile / 100.0);
			this.workSeconds = job.workSeconds * factor;
			this.doneSeconds = order.getCheckpoint().isEmpty() ? 0 : Double.parseDouble(order.getCheckpoint());
		}

		private boolean service() {
			return this.order.getTraits().getTailTarget() > 0;
		}

		private boolean filler() {
			return this.order.getTraits().getFiller();
		}

		private boolean working() {
			return MixedLoadSimulation.this.time.nanoTime() - this.startedNanos > START_UP.toNanos();
		}

		private boolean checkpointing() {
			return MixedLoadSimulation.this.jobs.get(this.key.job()).submission.specification()
				.steps()
				.get(this.key.step())
				.checkpointing();
		}

		private RunningTask listed() {
			return RunningTask.newBuilder()
				.setTask(this.order.getTask())
				.setRun(this.order.getRun())
				.setPace(this.pace)
				.setProgress(service() ? 100 : (int) Math.min(100, 100 * this.doneSeconds / this.workSeconds))
				.setLoad((int) this.load)
				.build();
		}

	}

	private final class SimulatedHost {

		private final String name;

		private final int milliCores;

		private final Map<TaskKey, SimulatedRun> running = new LinkedHashMap<>();

		private final List<EndedTask> ended = new ArrayList<>();

		private final PaceController paceController = new PaceController(PaceSettings.DEFAULT);

		private final double phase;

		private long ends;

		private long handledOrder;

		private boolean hasNewEnds;

		private SimulatedHost(String name, int milliCores) {
			this.name = name;
			this.milliCores = milliCores;
			this.phase = MixedLoadSimulation.this.random.nextDouble();
		}

		private void start(StartOrder order) {
			this.handledOrder++;
			SimulatedRun run = new SimulatedRun(order);
			this.running.put(run.key, run);
			MixedLoadSimulation.this.startedFillers += run.filler() ? 1 : 0;
		}

		private void advance(double seconds) {
			double used = 0;
			double wanted = 0;
			Map<String, Double> pressures = new HashMap<>();
			for (SimulatedRun run : this.running.values()) {
				if (run.service()) {
					pressures.computeIfAbsent(image(run), this::basePressure);
				}
			}
			for (SimulatedRun run : this.running.values()) {
				if (run.filler()) {
					double share = fillerMilliCores(run) * run.pace / 100.0;
					wanted += share;
				}
				else {
					used += run.order.getMilliCores() * (run.service() ? 0.48 : 1);
				}
			}
			double room = Math.min(1, (this.milliCores - used) / Math.max(1, wanted));
			for (SimulatedRun run : this.running.values()) {
				if (run.filler() && run.working()) {
					double cpu = fillerMilliCores(run) * run.pace / 100.0 * room;
					run.load += LOAD_SMOOTHING * (cpu - run.load);
					pressures.replaceAll(
							(service, pressure) -> pressure + weight(image(run), service) * cpu / this.milliCores);
				}
			}
			for (SimulatedRun run : List.copyOf(this.running.values())) {
				if (run.service()) {
					double pressure = pressures.get(image(run));
					run.load += LOAD_SMOOTHING * (pressure * TAIL_MILLIS - run.load);
					MixedLoadSimulation.this.serviceTicks++;
					MixedLoadSimulation.this.missedTargetTicks += (pressure > 1) ? 1 : 0;
				}
				else if (run.working()) {
					run.doneSeconds += seconds * (run.filler() ? run.pace / 100.0 * room : 1);
					if (run.doneSeconds >= run.workSeconds) {
						end(run, "done");
					}
				}
			}
			adjustPaces();
		}

		/**
		 * Returns the pressure on a service without fillers. Its load varies by half;
		 * that of one service varies in the same way on all workers.
		 */
		private double basePressure(String service) {
			Interference interference = MixedLoadSimulation.this.load.interference();
			double offset = (interference.services() == 1) ? this.phase
					: Math.floorMod(service.hashCode(), 100) / 100.0;
			return interference.basePressure()
					* (1 + 0.5 * Math.sin(2 * Math.PI * (MixedLoadSimulation.this.time.nanoTime() / 20e9 + offset)));
		}

		private double fillerMilliCores(SimulatedRun run) {
			return MixedLoadSimulation.this.jobs.get(run.key.job()).submission.specification()
				.steps()
				.get(run.key.step())
				.milliCores();
		}

		private String image(SimulatedRun run) {
			return run.order.getTraits().getImage();
		}

		private void adjustPaces() {
			List<PaceController.ObservedRun> observed = new ArrayList<>();
			this.running.values().forEach((run) -> {
				TaskTraits traits = run.order.getTraits();
				observed.add(new PaceController.ObservedRun(run.listed(), traits, run.pace));
			});
			this.paceController.update(observed, MixedLoadSimulation.this.time.nanoTime())
				.forEach((change) -> this.running.get(TaskNames.key(change.run().running().getTask())).pace = change
					.pace());
		}

		private void end(SimulatedRun run, String kind) {
			this.running.remove(run.key);
			this.hasNewEnds = true;
			this.ended.add(EndedTask.newBuilder()
				.setNumber(++this.ends)
				.setTask(run.order.getTask())
				.setRun(run.order.getRun())
				.setKind(kind)
				.setCheckpoint(run.checkpointing() ? String.valueOf(run.doneSeconds) : "")
				.build());
		}

		private void stop(StopOrder order) {
			SimulatedRun run = this.running.get(TaskNames.key(order.getTask()));
			if (run != null && run.order.getRun() == order.getRun()) {
				long age = MixedLoadSimulation.this.time.nanoTime() - run.startedNanos;
				MixedLoadSimulation.this.stoppedServices += order.getReason().startsWith("moved") ? 1 : 0;
				MixedLoadSimulation.this.earlyStops += (run.filler() && age < 2e9) ? 1 : 0;
				end(run, "stopped");
			}
		}

		private void report() {
			this.hasNewEnds = false;
			HostReport.Builder report = HostReport.newBuilder()
				.setHost(this.name)
				.setLife("life")
				.setLeaseStamp(Math.max(1, MixedLoadSimulation.this.time.nanoTime() / 1_000_000))
				.setWorkerAnswers(true)
				.setHandledOrder(this.handledOrder)
				.setWorker(WorkerDescription.newBuilder()
					.setId("worker-" + this.name)
					.setBorn(1)
					.setService("service")
					.setFailureDomain("domain")
					.setMilliCores(this.milliCores)
					.setMemoryMegabytes(this.milliCores * 4))
				.addAllEnded(this.ended);
			this.running.values().forEach((run) -> report.addRunning(run.listed()));
			ReportProcessor.Response response = MixedLoadSimulation.this.reports.reported(report.build(), true);
			long recorded = response.recordedEnds();
			this.ended.removeIf((end) -> end.getNumber() <= recorded);
			response.stops().forEach(this::stop);
		}

	}

}
