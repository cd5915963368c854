package org.crocuspost.bench.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.scheduler.BatchScheduler;
import org.crocuspost.scheduler.SchedulingSettings;
import org.crocuspost.standin.process.MemoryLink;
import org.crocuspost.standin.process.VirtualProcess;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.standin.worker.RunRecord;
import org.crocuspost.standin.worker.TaskBehaviors;
import org.crocuspost.standin.worker.WorkerStandIn;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.worker.TaskAgentSettings;

/**
 * Runs schedulers, agents and workers in one process on stand-ins and in virtual time.
 * Each agent is connected to every scheduler.
 */
public final class BatchDeployment {

	private static final Duration LINK_DELAY = Duration.ofMillis(1);

	private static final int WORKERS_PER_RACK = 3;

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-01-01T00:00:00Z"));

	private final TableStandIn table = new TableStandIn();

	private final VirtualConfiguration configuration = new VirtualConfiguration(this.table);

	private final List<String> domains;

	private final TaskBehaviors behaviors;

	private final PlacementPolicy policy;

	private final SchedulingSettings settings;

	private final Map<String, VirtualScheduler> schedulers = new LinkedHashMap<>();

	private final Map<String, VirtualWorker> workers = new LinkedHashMap<>();

	private final Map<LinkKey, MemoryLink> links = new LinkedHashMap<>();

	private int schedulersStarted;

	/**
	 * Creates a deployment without workers and schedulers.
	 * @param domains the failure domains
	 * @param behaviors the actual behavior of tasks, whatever their jobs declare
	 * @param policy the placement policy
	 */
	public BatchDeployment(List<String> domains, TaskBehaviors behaviors, PlacementPolicy policy) {
		this(SchedulingSettings.defaults(domains), behaviors, policy);
	}

	/**
	 * Creates a deployment without workers and schedulers.
	 * @param settings the settings of the schedulers
	 * @param behaviors the actual behavior of tasks, whatever their jobs declare
	 * @param policy the placement policy
	 */
	public BatchDeployment(SchedulingSettings settings, TaskBehaviors behaviors, PlacementPolicy policy) {
		this.domains = settings.domains();
		this.settings = settings;
		this.behaviors = behaviors;
		this.policy = policy;
	}

	/**
	 * Creates a deployment without workers and schedulers, with the default placement
	 * policy and no pair penalties.
	 * @param domains the failure domains
	 * @param behaviors the actual behavior of tasks, whatever their jobs declare
	 */
	public BatchDeployment(List<String> domains, TaskBehaviors behaviors) {
		this(domains, behaviors, new DefaultPlacementPolicy(PairPenalty.NONE));
	}

	/**
	 * Adds workers of equal capacity to a failure domain.
	 * @param domain the failure domain
	 * @param count the number of workers
	 * @param capacity the capacity of each worker
	 */
	public void addWorkers(String domain, int count, Resources capacity) {
		for (int index = 0; index < count; index++) {
			String name = domain + "-w" + index;
			TaskAgentSettings settings = new TaskAgentSettings(name, domain + "-r" + index / WORKERS_PER_RACK, capacity,
					TaskAgentSettings.Times.DEFAULT);
			WorkerStandIn runtime = new WorkerStandIn(name, this.time, this.behaviors);
			VirtualWorker worker = new VirtualWorker(settings, domain, this.configuration, this.time, runtime);
			this.workers.put(name, worker);
			this.schedulers.values().forEach((scheduler) -> connect(worker, scheduler));
		}
	}

	/**
	 * Starts a scheduler and connects it to all workers.
	 * @param name the name of the process
	 */
	public void startScheduler(String name) {
		startScheduler(name, this.table);
	}

	/**
	 * Starts a scheduler that reaches the table over a path of its own, and connects it
	 * to all workers.
	 * @param name the name of the process
	 * @param reachedTable the table as the scheduler reaches it
	 */
	public void startScheduler(String name, TableService reachedTable) {
		PeerIdentity identity = new PeerIdentity(PeerIdentity.Role.SCHEDULER, name,
				name + "-" + this.schedulersStarted++, this.domains.get(0));
		VirtualProcess process = new VirtualProcess(this.time);
		BatchScheduler scheduler = new BatchScheduler(this.settings, identity, reachedTable, this.configuration,
				this.policy, this.time, process);
		VirtualScheduler virtualScheduler = new VirtualScheduler(identity, process, scheduler);
		this.schedulers.put(name, virtualScheduler);
		scheduler.start();
		this.workers.values().forEach((worker) -> connect(worker, virtualScheduler));
	}

	/**
	 * Starts a scheduler under a name made from the number of schedulers started so far.
	 * The name is unique among the schedulers that this method starts.
	 */
	public void startScheduler() {
		startScheduler("scheduler-" + this.schedulersStarted);
	}

	private void connect(VirtualWorker worker, VirtualScheduler scheduler) {
		MemoryLink link = new MemoryLink(this.time, LINK_DELAY,
				new MemoryLink.End(worker.process(), worker.identity(), worker.agent()),
				new MemoryLink.End(scheduler.process(), scheduler.identity(), scheduler.scheduler()));
		this.links.put(new LinkKey(worker.name(), scheduler.identity().name()), link);
	}

	/**
	 * Kills the process of a scheduler and closes its links.
	 * @param name the name of the process
	 */
	public void killScheduler(String name) {
		this.schedulers.remove(name).process().kill();
		this.links.forEach((key, link) -> {
			if (key.scheduler().equals(name)) {
				link.close();
			}
		});
		this.links.keySet().removeIf((key) -> key.scheduler().equals(name));
	}

	/**
	 * Restarts the agent of a worker and connects it to all schedulers. Its tasks keep
	 * running.
	 * @param name the name of the worker
	 */
	public void restartAgent(String name) {
		VirtualWorker worker = this.workers.get(name);
		this.links.forEach((key, link) -> {
			if (key.worker().equals(name)) {
				link.close();
			}
		});
		worker.restartAgent();
		this.schedulers.values().forEach((scheduler) -> connect(worker, scheduler));
	}

	/**
	 * Simulates the loss of a host: its tasks end, its agent is killed and its links
	 * close.
	 * @param name the name of the worker
	 */
	public void failWorker(String name) {
		VirtualWorker worker = this.workers.get(name);
		worker.runtime().loseHost();
		worker.process().kill();
		links(name).forEach(MemoryLink::close);
	}

	/**
	 * Puts a lost host back into operation without tasks and restarts its agent.
	 * @param name the name of the worker
	 */
	public void recoverWorker(String name) {
		this.workers.get(name).runtime().faults().hostLost(false);
		restartAgent(name);
	}

	/**
	 * Returns the links between the agent of a worker and the schedulers.
	 * @param worker the name of the worker
	 * @return the links, one for each scheduler
	 */
	public List<MemoryLink> links(String worker) {
		return links((key) -> key.worker().equals(worker));
	}

	/**
	 * Returns the links between a scheduler and the agents.
	 * @param scheduler the name of the process
	 * @return the links, one for each worker
	 */
	public List<MemoryLink> linksOfScheduler(String scheduler) {
		return links((key) -> key.scheduler().equals(scheduler));
	}

	/**
	 * Returns the link between the agent of a worker and a scheduler.
	 * @param worker the name of the worker
	 * @param scheduler the name of the process
	 * @return the link
	 */
	public MemoryLink link(String worker, String scheduler) {
		return this.links.get(new LinkKey(worker, scheduler));
	}

	private List<MemoryLink> links(Predicate<LinkKey> filter) {
		return this.links.entrySet()
			.stream()
			.filter((entry) -> filter.test(entry.getKey()))
			.map(Map.Entry::getValue)
			.toList();
	}

	/**
	 * Advances the virtual time.
	 * @param duration the time by which to advance
	 */
	public void advance(Duration duration) {
		this.time.advance(duration);
	}

	/**
	 * Returns the records of all task runs on all workers.
	 * @return the records of the worker runtimes
	 */
	public List<RunRecord> history() {
		List<RunRecord> records = new ArrayList<>();
		this.workers.values().forEach((worker) -> records.addAll(worker.runtime().history()));
		return records;
	}

	/**
	 * Returns the virtual time.
	 * @return the clock
	 */
	public VirtualTime time() {
		return this.time;
	}

	/**
	 * Returns the table.
	 * @return the stand-in of the table service
	 */
	public TableStandIn table() {
		return this.table;
	}

	/**
	 * Returns the configuration of the deployment.
	 * @return the configuration, which can be changed
	 */
	public VirtualConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Returns a worker.
	 * @param name the name of the worker
	 * @return the worker
	 */
	public VirtualWorker worker(String name) {
		return this.workers.get(name);
	}

	/**
	 * Returns all workers.
	 * @return the workers
	 */
	public List<VirtualWorker> workers() {
		return List.copyOf(this.workers.values());
	}

	/**
	 * Returns a scheduler.
	 * @param name the name of the process
	 * @return the scheduler
	 */
	public VirtualScheduler scheduler(String name) {
		return this.schedulers.get(name);
	}

	/**
	 * Returns the running schedulers.
	 * @return the schedulers
	 */
	public List<VirtualScheduler> schedulers() {
		return List.copyOf(this.schedulers.values());
	}

	private record LinkKey(String worker, String scheduler) {
	}

}
