package org.crocuspost.local;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.daemon.AgentProcess;
import org.crocuspost.daemon.Daemon;
import org.crocuspost.daemon.EntryProcess;
import org.crocuspost.daemon.PlatformStores;
import org.crocuspost.daemon.ProcessContext;
import org.crocuspost.daemon.SchedulerProcess;
import org.crocuspost.settings.DeploymentSettings;
import org.crocuspost.settings.DeploymentSettings.ControlProcess;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;
import org.crocuspost.standin.Pause;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.standin.worker.TaskBehavior;
import org.crocuspost.standin.worker.WorkerStandIn;

/**
 * All processes of a deployment in one, with stand-ins for the platform. The processes
 * talk over loopback as they do on separate hosts.
 */
public final class LocalDeployment implements Daemon {

	private static final int NETWORK_THREADS = 4;

	private static final double TASK_USE_OF_DECLARED = 0.8;

	private final DeploymentSettings settings;

	private final LocalSettings roles;

	private final ProcessContext context = new ProcessContext("local", NETWORK_THREADS);

	private final List<ProcessContext> workerContexts = new ArrayList<>();

	private final SplittableRandom random = new SplittableRandom();

	private final TableStandIn table;

	private final PlatformStores stores;

	private final List<EntryProcess> entries = new ArrayList<>();

	private final List<SchedulerProcess> schedulers = new ArrayList<>();

	private final List<LocalWorker> workers = new ArrayList<>();

	/**
	 * Starts all processes.
	 * @param settings the deployment
	 */
	public LocalDeployment(DeploymentSettings settings) {
		this.settings = settings;
		this.roles = new LocalSettings(settings);
		Pause pause = Pause.on(this.context.timer());
		this.table = new TableStandIn(pause);
		this.stores = new PlatformStores(this.table, new ObjectStandIn(pause));
		settings.entries().forEach(this::startEntry);
		settings.schedulers().forEach(this::startScheduler);
		settings.workers().forEach(this::startWorker);
	}

	private void startEntry(ControlProcess entry) {
		boolean first = this.entries.isEmpty();
		this.entries.add(new EntryProcess(this.roles.entry(entry, first), this.stores, incarnation(),
				this.random.split(), contextOf(entry.name())));
	}

	private void startScheduler(ControlProcess scheduler) {
		this.schedulers.add(new SchedulerProcess(this.roles.scheduler(scheduler), this.stores, incarnation(),
				this.random.split(), contextOf(scheduler.name())));
	}

	private void startWorker(WorkerHost host) {
		ProcessContext workerContext = contextOf(host.name());
		EndpointStandIn endpoint = new EndpointStandIn(this.context.eventLoopGroup(), this.context.timer());
		endpoint.setServiceTime(host.endpoint().serviceTime());
		WorkerStandIn runtime = new WorkerStandIn(host.name(), this.context.clock(),
				(start) -> new TaskBehavior(declaredRunTime(start.jobName()), start.resources(), false));
		AgentProcess agent = new AgentProcess(this.roles.agent(host, endpoint.address()), runtime, incarnation(),
				this.table, this.random.split(), workerContext);
		this.workers.add(new LocalWorker(host, runtime, endpoint, agent));
	}

	private ProcessContext contextOf(String name) {
		ProcessContext created = new ProcessContext(name, 1);
		this.workerContexts.add(created);
		return created;
	}

	private Duration declaredRunTime(String jobName) {
		Configuration configuration = this.entries.get(0).configuration().current();
		if (!configuration.jobs().containsKey(jobName)) {
			return Duration.ofSeconds(1);
		}
		long declared = configuration.jobs().get(jobName).runTime().toMillis();
		return Duration.ofMillis(Math.round(declared * TASK_USE_OF_DECLARED));
	}

	private static String incarnation() {
		return UUID.randomUUID().toString();
	}

	/**
	 * Returns the entries.
	 * @return the entries in order of declaration
	 */
	public List<EntryProcess> entries() {
		return Collections.unmodifiableList(this.entries);
	}

	/**
	 * Returns the schedulers.
	 * @return the schedulers in order of declaration
	 */
	public List<SchedulerProcess> schedulers() {
		return Collections.unmodifiableList(this.schedulers);
	}

	/**
	 * Returns the workers.
	 * @return the workers in order of declaration
	 */
	public List<LocalWorker> workers() {
		return Collections.unmodifiableList(this.workers);
	}

	/**
	 * Returns the stand-in for the table service, with its switches for faults.
	 * @return the table
	 */
	public TableStandIn table() {
		return this.table;
	}

	/**
	 * Returns the settings.
	 * @return the settings
	 */
	public DeploymentSettings settings() {
		return this.settings;
	}

	@Override
	public void stop() {
		this.entries.forEach(EntryProcess::stop);
		this.schedulers.forEach(SchedulerProcess::stop);
		this.workers.forEach((worker) -> {
			worker.agent().stop();
			worker.endpoint().close();
		});
		this.workerContexts.forEach(ProcessContext::close);
		this.context.close();
	}

}
