package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.admission.AdmissionController;
import org.crocuspost.admission.AdmissionSettings;
import org.crocuspost.admission.EndpointClient;
import org.crocuspost.admission.MeasuredEndpointClient;
import org.crocuspost.admission.RatpackEndpointClient;
import org.crocuspost.distribution.AgentConfiguration;
import org.crocuspost.distribution.AgentEndpoint;
import org.crocuspost.distribution.ConfigurationReceiver;
import org.crocuspost.membership.AgentConnectionSettings;
import org.crocuspost.membership.AgentConnections;
import org.crocuspost.membership.Dialer;
import org.crocuspost.membership.EntryFinder;
import org.crocuspost.metrics.Health;
import org.crocuspost.metrics.HealthCheck;
import org.crocuspost.metrics.MonitoringServer;
import org.crocuspost.metrics.ProcessMetrics;
import org.crocuspost.peer.CompositePeerListener;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerConnector;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.settings.AgentSettings;
import org.crocuspost.time.Timer;
import org.crocuspost.worker.TaskAgent;
import org.crocuspost.worker.TaskAgentSettings;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;

/**
 * Process of an agent, which runs admission control for one endpoint of a service and the
 * batch tasks of one worker.
 */
public final class AgentProcess implements Daemon {

	private static final int HTTP_THREADS = 1;

	private final AgentSettings settings;

	private final ExecController http = new DefaultExecController(HTTP_THREADS);

	private final ConfigurationReceiver receiver;

	private final AgentInterference interference;

	private final AdmissionController admission;

	private final TaskAgent tasks;

	private volatile boolean drainingEndpoint;

	private final AgentConnections connections;

	private final Health health;

	private final MonitoringServer monitoring;

	/**
	 * Starts an agent.
	 * @param settings the settings
	 * @param runtime the runtime of the worker
	 * @param incarnation a random identifier of this incarnation of the process
	 * @param table the table service, which is read while the agent has no known entry
	 * @param random the source of random delays between connection attempts
	 * @param context the threads and the clock of the process
	 */
	public AgentProcess(AgentSettings settings, WorkerRuntime runtime, String incarnation, TableService table,
			RandomGenerator random, ProcessContext context) {
		this.settings = settings;
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.AGENT, settings.name(), incarnation,
				settings.failureDomain());
		this.receiver = new ConfigurationReceiver(
				new AgentEndpoint(settings.endpoint().service(), settings.endpoint().id()), context.clock());
		this.interference = new AgentInterference(settings.endpoint().service(), settings.worker().capacity(),
				this.receiver, context.clock());
		this.admission = startAdmissionControl(incarnation, context);
		this.tasks = startTasks(runtime, context);
		this.receiver.addListener(this::configure);
		this.connections = connect(self, table, random, context);
		this.health = new Health(List.of(),
				List.of(new HealthCheck("configuration", () -> this.receiver.current().version() > 0)));
		PrometheusRegistry registry = new PrometheusRegistry();
		ProcessMetrics.register(registry);
		this.monitoring = MonitoringServer.start(settings.monitoring(), registry, this.health);
		this.connections.start();
	}

	/**
	 * Returns the address on which metrics and health are served.
	 * @return the address
	 */
	public InetSocketAddress monitoringAddress() {
		return this.monitoring.address();
	}

	private AgentConnections connect(PeerIdentity self, TableService table, RandomGenerator random,
			ProcessContext context) {
		AtomicReference<PeerConnector> connector = new AtomicReference<>();
		Dialer dialer = (address) -> connector.get().connect(address)::close;
		AgentConnections agentConnections = new AgentConnections(
				AgentConnectionSettings.of(this.settings.name(), this.settings.failureDomain(),
						this.settings.entryConnections()),
				new EntryFinder(table, this.settings.failureDomain()), dialer,
				new CompositePeerListener(List.of(this.receiver, this.admission, this.tasks)), context.clock(),
				context.blockingTimer("membership"), random);
		connector.set(new PeerConnector(context.eventLoopGroup(),
				PeerSettings.of(self, new DeploymentSecret(this.settings.secret().reveal())), agentConnections,
				context.timer()));
		return agentConnections;
	}

	private AdmissionController startAdmissionControl(String incarnation, ProcessContext context) {
		AgentSettings.Endpoint endpoint = this.settings.endpoint();
		AdmissionSettings admissionSettings = new AdmissionSettings(endpoint.id(), endpoint.service(), endpoint.url(),
				this.settings.worker().name(), this.settings.rack(), endpoint.slots(), endpoint.connections(),
				endpoint.queue(), AdmissionSettings.AdmissionLimits.DEFAULT);
		EndpointClient client = new MeasuredEndpointClient(new RatpackEndpointClient(admissionSettings, this.http),
				context.clock(), this.interference.window()::record);
		return new AdmissionController(admissionSettings, incarnation, client, context.clock(), context.timer());
	}

	private TaskAgent startTasks(WorkerRuntime runtime, ProcessContext context) {
		AgentSettings.Worker worker = this.settings.worker();
		TaskAgentSettings taskSettings = new TaskAgentSettings(worker.name(), this.settings.rack(), worker.capacity(),
				taskTimes());
		Timer timer = context.blockingTimer("worker");
		TaskAgent agent = new TaskAgent(taskSettings,
				new AgentConditions(this.receiver, worker.reservedForService(), this.interference), runtime,
				this.interference, context.clock(), timer);
		agent.start();
		this.interference.start(agent, timer);
		return agent;
	}

	private TaskAgentSettings.Times taskTimes() {
		AgentSettings.Times times = this.settings.times();
		return new TaskAgentSettings.Times(times.heartbeat(), times.taskLease(), times.startBudget(),
				times.checkpointInterval(), TaskAgentSettings.Times.DEFAULT.callTimeout());
	}

	private void configure(AgentConfiguration configuration) {
		boolean withdrawn = configuration.endpointsWithdrawn().contains(this.settings.endpoint().id());
		boolean accepting = !withdrawn && !configuration.domainOut();
		this.admission.configure(configuration.version(), accepting);
		this.interference.setServing(accepting && !this.drainingEndpoint);
	}

	/**
	 * Takes the endpoint out of service: rejects new requests and waits until the
	 * admitted requests have ended or the drain time of the settings has passed. Batch
	 * tasks continue.
	 */
	public void drainEndpoint() {
		this.drainingEndpoint = true;
		this.interference.setServing(false);
		CompletableFuture<Void> drained = this.admission.drain().toCompletableFuture();
		drained.completeOnTimeout(null, this.settings.times().drain().toMillis(), TimeUnit.MILLISECONDS).join();
	}

	@Override
	public void stop() {
		this.health.drain();
		drainEndpoint();
		this.interference.stop();
		this.tasks.stop();
		this.connections.stop();
		this.admission.close();
		this.http.close();
		this.monitoring.close();
	}

}
