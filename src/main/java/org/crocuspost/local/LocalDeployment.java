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
 * Runs all processes of a deployment in one JVM, with stand-ins for the services of the
 * platform. The processes communicate over the loopback interface in the same way as
 * between separate hosts.
 */
public final class LocalDeployment implements Daemon {

	private static final int NETWORK_THREADS = 4;

	/**
	 * Actual run time of a task as a fraction of the run time that its job declares.
	 */
	private static final double RUN_TIME_FRACTION = 0.8;

	private final DeploymentSettings settings;

	private final LocalSettings processSettings;

	private final ProcessContext context = new ProcessContext("local", NETWORK_THREADS);

	private final List<ProcessContext> processContexts = new ArrayList<>();

	private final SplittableRandom random = new SplittableRandom();

	private final TableStandIn table;

	private final PlatformStores stores;

	private final List<EntryProcess> entries = new ArrayList<>();

	private final List<SchedulerProcess> schedulers = new ArrayList<>();

	private final List<LocalWorker> workers = new ArrayList<>();

	/**
	 * Starts all processes.
	 * @param settings the settings of the deployment
	 */
	public LocalDeployment(DeploymentSettings settings) {
		this.settings = settings;
		this.processSettings = new LocalSettings(settings);
		Pause pause = Pause.on(this.context.timer());
		this.table = new TableStandIn(pause);
		this.stores = new PlatformStores(this.table, new ObjectStandIn(pause));
		settings.entries().forEach(this::startEntry);
		settings.schedulers().forEach(this::startScheduler);
		settings.workers().forEach(this::startWorker);
	}

	private void startEntry(ControlProcess entry) {
		boolean first = this.entries.isEmpty();
		this.entries.add(new EntryProcess(this.processSettings.entry(entry, first), this.stores, newIncarnation(),
				this.random.split(), createContext(entry.name())));
	}

	private void startScheduler(ControlProcess scheduler) {
		this.schedulers.add(new SchedulerProcess(this.processSettings.scheduler(scheduler), this.stores,
				newIncarnation(), this.random.split(), createContext(scheduler.name())));
	}

	private void startWorker(WorkerHost host) {
		ProcessContext workerContext = createContext(host.name());
		EndpointStandIn endpoint = new EndpointStandIn(this.context.eventLoopGroup(), this.context.timer());
		endpoint.setServiceTime(host.endpoint().serviceTime());
		WorkerStandIn runtime = new WorkerStandIn(host.name(), this.context.clock(),
				(start) -> new TaskBehavior(taskRunTime(start.jobName()), start.resources(), false));
		AgentProcess agent = new AgentProcess(this.processSettings.agent(host, endpoint.address()), runtime,
				newIncarnation(), this.table, this.random.split(), workerContext);
		this.workers.add(new LocalWorker(host, runtime, endpoint, agent));
	}

	private ProcessContext createContext(String name) {
		ProcessContext created = new ProcessContext(name, 1);
		this.processContexts.add(created);
		return created;
	}

	private Duration taskRunTime(String jobName) {
		Configuration configuration = this.entries.get(0).configuration().current();
		if (!configuration.jobs().containsKey(jobName)) {
			return Duration.ofSeconds(1);
		}
		long declared = configuration.jobs().get(jobName).runTime().toMillis();
		return Duration.ofMillis(Math.round(declared * RUN_TIME_FRACTION));
	}

	private static String newIncarnation() {
		return UUID.randomUUID().toString();
	}

	/**
	 * Returns the entry processes.
	 * @return the entry processes in order of declaration
	 */
	public List<EntryProcess> entries() {
		return Collections.unmodifiableList(this.entries);
	}

	/**
	 * Returns the scheduler processes.
	 * @return the scheduler processes in order of declaration
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
	 * Returns the stand-in for the table service, which can inject faults.
	 * @return the stand-in for the table service
	 */
	public TableStandIn table() {
		return this.table;
	}

	/**
	 * Returns the settings of the deployment.
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
		this.processContexts.forEach(ProcessContext::close);
		this.context.close();
	}

}
