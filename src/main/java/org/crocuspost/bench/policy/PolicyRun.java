package org.crocuspost.bench.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.crocuspost.time.VirtualTime;

/**
 * Simulation of one policy on one workload, in steps of one second. For the same seed,
 * everything that the policy doesn't decide is the same for all policies.
 */
final class PolicyRun {

	private static final Duration STEP = Duration.ofSeconds(1);

	private static final double SERVICE_CORE_SHARE = 0.25;

	private final Deployment deployment;

	private final PolicyKind kind;

	private final InterferenceFunction function;

	private final long seed;

	private final Workload workload;

	private final FaultScript faults;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final List<BenchWorker> workers = new ArrayList<>();

	private final Map<Integer, ServiceLoad> loads = new HashMap<>();

	private final LatencyStatistics latencies = new LatencyStatistics();

	private final BatchControl control;

	private final TaskQueue queue;

	private final InvariantCheck invariants = new InvariantCheck();

	private int evictions;

	private int domainEvictions;

	private double workBeforeDomainOut;

	private double domainWork;

	PolicyRun(Deployment deployment, PolicyKind kind, InterferenceFunction function, long seed) {
		this.deployment = deployment;
		this.kind = kind;
		this.function = function;
		this.seed = seed;
		this.workload = Workload.generate(deployment, seed);
		this.faults = FaultScript.generate(deployment, seed);
		SplittableRandom random = new SplittableRandom(~seed);
		for (int i = 0; i < deployment.workers(); i++) {
			addWorker(i, random.split());
		}
		this.control = kind.create(this.workers, this.workload.milliCoresByJob(), this.time);
		this.queue = new TaskQueue(this.workload.tasks());
	}

	private void addWorker(int index, SplittableRandom random) {
		int serviceIndex = index * this.deployment.workersWithService() / this.deployment.workers();
		int nextServiceIndex = (index + 1) * this.deployment.workersWithService() / this.deployment.workers();
		List<ServiceProfile> services = this.deployment.services();
		Optional<ServiceProfile> service = (nextServiceIndex > serviceIndex)
				? Optional.of(services.get(serviceIndex % services.size())) : Optional.empty();
		this.workers.add(new BenchWorker(index, this.deployment, service, this.time));
		service.ifPresent((profile) -> this.loads.put(index, new ServiceLoad(profile, random)));
	}

	/**
	 * Runs the simulation to its end.
	 * @return the measures of the run
	 */
	RunResult run() {
		for (int step = 0; step < this.deployment.steps(); step++) {
			double hour = this.deployment.hour(step);
			step(new SimulationTime(step, hour, this.deployment.loadProfile().isDaytime(hour)));
		}
		return new RunResult(this.kind, this.function, this.seed, this.latencies.tailMilliseconds(),
				this.latencies.peakTailMilliseconds(), this.latencies.goodShare(), usefulWork(), this.evictions,
				this.domainEvictions, this.domainWork, this.latencies.domainGoodShare(), this.invariants.violations());
	}

	private void step(SimulationTime now) {
		applyFaults(now.step());
		this.queue.startPending(startableWorkers(now), this.control.placement(), now.step());
		for (BenchWorker worker : this.workers) {
			serveRequests(worker, now);
			runTasks(worker, now.step());
		}
		this.time.advance(STEP);
		for (BenchWorker worker : this.workers) {
			if (worker.up()) {
				this.control.control(worker, now, this::evict);
			}
		}
		this.invariants.check(this.workers, (domain) -> this.faults.isDomainOut(domain, now.step()));
	}

	private List<BenchWorker> startableWorkers(SimulationTime now) {
		return this.workers.stream()
			.filter(BenchWorker::up)
			.filter((worker) -> !this.faults.isDomainOut(worker.domain(), now.step()))
			.filter((worker) -> this.control.admits(worker, now))
			.toList();
	}

	private void applyFaults(int step) {
		if (step == this.faults.domainOutFrom()) {
			this.workBeforeDomainOut = usefulWork();
			evictDomainTasks();
		}
		if (step == this.faults.domainReturnUntil()) {
			this.domainWork = usefulWork() - this.workBeforeDomainOut;
		}
		if (step == this.faults.cancelStep()) {
			this.queue.cancel(this.workload.jobs().get(this.faults.cancelledJob()).name(), step);
		}
		for (BenchWorker worker : this.workers) {
			boolean down = this.faults.isWorkerDown(worker.index(), step);
			if (down && worker.up()) {
				List.copyOf(worker.tasks()).forEach((task) -> this.queue.lost(task));
			}
			worker.up(!down);
		}
	}

	private void evictDomainTasks() {
		for (BenchWorker worker : this.workers) {
			if (worker.domain().equals(this.faults.domain())) {
				List<BenchTask> tasks = List.copyOf(worker.tasks());
				tasks.forEach((task) -> this.queue.evicted(task));
				this.domainEvictions += tasks.size();
			}
		}
	}

	private void serveRequests(BenchWorker worker, SimulationTime now) {
		ServiceLoad load = this.loads.get(worker.index());
		if (load == null) {
			return;
		}
		ServiceProfile service = worker.service().orElseThrow();
		int requests = load.advance(expectedLoad(worker, now));
		double slowdown = slowdown(worker, service, load.load());
		boolean atPeak = this.deployment.loadProfile().isPeak(now.hour());
		boolean inDomainWindow = this.faults.isInDomainWindow(now.step());
		for (int i = 0; i < requests; i++) {
			Duration latency = load.latency(slowdown);
			worker.latencyWindow().record(latency);
			this.latencies.record(service, latency, atPeak, inDomainWindow);
		}
		worker.pressure(worker.latencyWindow()
			.tail(service.objective().latencyQuantile())
			.pressure(service.objective().latency()));
	}

	private double expectedLoad(BenchWorker worker, SimulationTime now) {
		double expected = this.deployment.loadProfile().load(now.hour());
		boolean domainOut = now.step() >= this.faults.domainOutFrom() && now.step() < this.faults.domainOutUntil();
		if (!domainOut) {
			return expected;
		}
		int domainCount = this.deployment.domains().size();
		return worker.domain().equals(this.faults.domain()) ? 0 : expected * domainCount / (domainCount - 1);
	}

	private double slowdown(BenchWorker worker, ServiceProfile service, double load) {
		double noise = 0;
		double maxTaskNoise = 0;
		for (BenchTask task : worker.tasks()) {
			double share = task.usedCores() * task.sharePercent() / 100 / worker.cores();
			double coefficient = this.workload.coefficients().of(service.name(), task.job().name());
			double taskNoise = coefficient * share * task.noise();
			noise += taskNoise;
			maxTaskNoise = Math.max(maxTaskNoise, taskNoise);
		}
		double coreShortage = Math.max(0, coreDemand(worker, load) / worker.cores() - 1);
		return this.function.slowdown(noise, maxTaskNoise, load) * (1 + coreShortage);
	}

	private double coreDemand(BenchWorker worker, double serviceLoad) {
		double batchDemand = worker.tasks()
			.stream()
			.mapToDouble((task) -> task.usedCores() * task.sharePercent() / 100)
			.sum();
		return batchDemand + (worker.service().isPresent() ? serviceLoad * SERVICE_CORE_SHARE * worker.cores() : 0);
	}

	private void runTasks(BenchWorker worker, int step) {
		ServiceLoad load = this.loads.get(worker.index());
		double demand = coreDemand(worker, (load != null) ? load.load() : 0);
		double supplyRatio = Math.min(1, worker.cores() / Math.max(1e-9, demand));
		for (BenchTask task : List.copyOf(worker.tasks())) {
			if (this.faults.isWorkerBroken(worker.index(), step)) {
				this.queue.failed(task, step);
			}
			else if (task.advance(supplyRatio * task.sharePercent() / 100)) {
				this.queue.done(task);
			}
		}
	}

	private void evict(BenchTask task) {
		this.queue.evicted(task);
		this.evictions++;
	}

	private double usefulWork() {
		return this.queue.usefulCoreSeconds();
	}

}
