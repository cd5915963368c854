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
 * One run of a policy on one workload, second by second. Everything that the policy does
 * not decide is the same for all policies with the same seed.
 */
final class PolicyRun {

	private static final Duration STEP = Duration.ofSeconds(1);

	private static final double SERVICE_CORES = 0.25;

	private final Deployment deployment;

	private final PolicyKind kind;

	private final InterferenceFunction function;

	private final long seed;

	private final Workload workload;

	private final FaultScript faults;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final List<BenchWorker> workers = new ArrayList<>();

	private final Map<Integer, ServiceLoad> loads = new HashMap<>();

	private final LatencyMeasure latencies = new LatencyMeasure();

	private final BatchControl control;

	private final TaskQueue queue;

	private final PromiseCheck promises = new PromiseCheck();

	private int evictions;

	private int domainEvictions;

	private double workBeforeDomainOut;

	private double domainWork;

	PolicyRun(Deployment deployment, PolicyKind kind, InterferenceFunction function, long seed) {
		this.deployment = deployment;
		this.kind = kind;
		this.function = function;
		this.seed = seed;
		this.workload = Workload.draw(deployment, seed);
		this.faults = FaultScript.draw(deployment, seed);
		SplittableRandom random = new SplittableRandom(~seed);
		for (int i = 0; i < deployment.workers(); i++) {
			addWorker(i, random.split());
		}
		this.control = kind.create(this.workers, this.workload.milliCoresByJob(), this.time);
		this.queue = new TaskQueue(this.workload.tasks());
	}

	private void addWorker(int index, SplittableRandom random) {
		int position = index * this.deployment.workersWithService() / this.deployment.workers();
		int next = (index + 1) * this.deployment.workersWithService() / this.deployment.workers();
		List<ServiceProfile> services = this.deployment.services();
		Optional<ServiceProfile> service = (next > position) ? Optional.of(services.get(position % services.size()))
				: Optional.empty();
		this.workers.add(new BenchWorker(index, this.deployment, service, this.time));
		service.ifPresent((profile) -> this.loads.put(index, new ServiceLoad(profile, random)));
	}

	/**
	 * Runs to the end.
	 * @return the measures
	 */
	RunResult run() {
		for (int step = 0; step < this.deployment.steps(); step++) {
			double hour = this.deployment.hour(step);
			step(new Moment(step, hour, this.deployment.dayShape().daytime(hour)));
		}
		return new RunResult(this.kind, this.function, this.seed, this.latencies.tailMilliseconds(),
				this.latencies.peakTailMilliseconds(), this.latencies.goodShare(), usefulWork(), this.evictions,
				this.domainEvictions, this.domainWork, this.latencies.domainGoodShare(), this.promises.violations());
	}

	private void step(Moment moment) {
		applyFaults(moment.step());
		this.queue.start(startable(moment), this.control.placement(), moment.step());
		for (BenchWorker worker : this.workers) {
			serve(worker, moment);
			runTasks(worker, moment.step());
		}
		this.time.advance(STEP);
		for (BenchWorker worker : this.workers) {
			if (worker.up()) {
				this.control.control(worker, moment, this::evict);
			}
		}
		this.promises.check(this.workers, (domain) -> this.faults.domainOut(domain, moment.step()));
	}

	private List<BenchWorker> startable(Moment moment) {
		return this.workers.stream()
			.filter(BenchWorker::up)
			.filter((worker) -> !this.faults.domainOut(worker.domain(), moment.step()))
			.filter((worker) -> this.control.admits(worker, moment))
			.toList();
	}

	private void applyFaults(int step) {
		if (step == this.faults.domainOutFrom()) {
			this.workBeforeDomainOut = usefulWork();
			takeDomainOut();
		}
		if (step == this.faults.returnUntil()) {
			this.domainWork = usefulWork() - this.workBeforeDomainOut;
		}
		if (step == this.faults.cancelAt()) {
			this.queue.cancel(this.workload.jobs().get(this.faults.cancelledJob()).name(), step);
		}
		for (BenchWorker worker : this.workers) {
			boolean down = this.faults.down(worker.index(), step);
			if (down && worker.up()) {
				List.copyOf(worker.tasks()).forEach((task) -> this.queue.lost(task));
			}
			worker.up(!down);
		}
	}

	private void takeDomainOut() {
		for (BenchWorker worker : this.workers) {
			if (worker.domain().equals(this.faults.domain())) {
				List<BenchTask> tasks = List.copyOf(worker.tasks());
				tasks.forEach((task) -> this.queue.evicted(task));
				this.domainEvictions += tasks.size();
			}
		}
	}

	private void serve(BenchWorker worker, Moment moment) {
		ServiceLoad load = this.loads.get(worker.index());
		if (load == null) {
			return;
		}
		ServiceProfile service = worker.service().orElseThrow();
		int requests = load.next(expectedLoad(worker, moment));
		double slowdown = slowdown(worker, service, load.load());
		boolean atPeak = this.deployment.dayShape().peak(moment.hour());
		boolean inWindow = this.faults.domainWindow(moment.step());
		for (int i = 0; i < requests; i++) {
			Duration latency = load.latency(slowdown);
			worker.window().record(latency);
			this.latencies.record(service, latency, atPeak, inWindow);
		}
		worker.pressure(
				worker.window().tail(service.objective().latencyQuantile()).pressure(service.objective().latency()));
	}

	private double expectedLoad(BenchWorker worker, Moment moment) {
		double expected = this.deployment.dayShape().load(moment.hour());
		boolean out = moment.step() >= this.faults.domainOutFrom() && moment.step() < this.faults.domainOutUntil();
		if (!out) {
			return expected;
		}
		int domains = this.deployment.domains().size();
		return worker.domain().equals(this.faults.domain()) ? 0 : expected * domains / (domains - 1);
	}

	private double slowdown(BenchWorker worker, ServiceProfile service, double load) {
		double noise = 0;
		double strongest = 0;
		for (BenchTask task : worker.tasks()) {
			double share = task.usedCores() * task.percent() / 100 / worker.cores();
			double coefficient = this.workload.coefficients().of(service.name(), task.job().name());
			double part = coefficient * share * task.noise();
			noise += part;
			strongest = Math.max(strongest, part);
		}
		double shortage = Math.max(0, coresWanted(worker, load) / worker.cores() - 1);
		return this.function.slowdown(noise, strongest, load) * (1 + shortage);
	}

	private double coresWanted(BenchWorker worker, double serviceLoad) {
		double batch = worker.tasks().stream().mapToDouble((task) -> task.usedCores() * task.percent() / 100).sum();
		return batch + (worker.service().isPresent() ? serviceLoad * SERVICE_CORES * worker.cores() : 0);
	}

	private void runTasks(BenchWorker worker, int step) {
		ServiceLoad load = this.loads.get(worker.index());
		double wanted = coresWanted(worker, (load != null) ? load.load() : 0);
		double supply = Math.min(1, worker.cores() / Math.max(1e-9, wanted));
		for (BenchTask task : List.copyOf(worker.tasks())) {
			if (this.faults.broken(worker.index(), step)) {
				this.queue.failed(task, step);
			}
			else if (task.advance(supply * task.percent() / 100)) {
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
