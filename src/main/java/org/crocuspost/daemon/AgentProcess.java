package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.crocuspost.distribution.AgentConfiguration;
import org.crocuspost.distribution.AgentEndpoint;
import org.crocuspost.distribution.ConfigurationReceiver;
import org.crocuspost.gate.EndpointClient;
import org.crocuspost.gate.GateSettings;
import org.crocuspost.gate.RatpackEndpointClient;
import org.crocuspost.gate.RequestGate;
import org.crocuspost.peer.CompositePeerListener;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerConnector;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerLink;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.settings.AgentSettings;
import org.crocuspost.worker.TaskAgent;
import org.crocuspost.worker.TaskAgentSettings;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;

/**
 * An agent: the gate before one endpoint and the batch tasks of one worker.
 */
public final class AgentProcess implements Daemon {

	private static final int HTTP_THREADS = 1;

	private final AgentSettings settings;

	private final ExecController http = new DefaultExecController(HTTP_THREADS);

	private final ConfigurationReceiver receiver;

	private final RequestGate gate;

	private final TaskAgent tasks;

	private final List<PeerLink> links;

	/**
	 * Starts an agent.
	 * @param settings the settings
	 * @param runtime the runtime of the worker
	 * @param incarnation drawn at random for this process
	 * @param peers where entries and schedulers listen for agents
	 * @param context the threads and the time of the process
	 */
	public AgentProcess(AgentSettings settings, WorkerRuntime runtime, String incarnation,
			List<InetSocketAddress> peers, ProcessContext context) {
		this.settings = settings;
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.AGENT, settings.name(), incarnation,
				settings.failureDomain());
		this.receiver = new ConfigurationReceiver(
				new AgentEndpoint(settings.endpoint().service(), settings.endpoint().id()), context.clock());
		this.gate = startGate(incarnation, context);
		this.tasks = startTasks(runtime, context);
		this.receiver.addListener(this::configure);
		CompositePeerListener listener = new CompositePeerListener(List.of(this.receiver, this.gate, this.tasks));
		PeerConnector connector = new PeerConnector(context.network(),
				PeerSettings.of(self, new DeploymentSecret(settings.secret().reveal())), listener, context.timer());
		this.links = peers.stream().map(connector::connect).toList();
	}

	private RequestGate startGate(String incarnation, ProcessContext context) {
		AgentSettings.Endpoint endpoint = this.settings.endpoint();
		GateSettings gateSettings = new GateSettings(endpoint.id(), endpoint.service(), endpoint.url(),
				this.settings.worker().name(), this.settings.rack(), endpoint.slots(), endpoint.connections(),
				endpoint.queue(), GateSettings.GateLimits.DEFAULT);
		EndpointClient client = new RatpackEndpointClient(gateSettings, this.http);
		return new RequestGate(gateSettings, incarnation, client, context.clock(), context.timer());
	}

	private TaskAgent startTasks(WorkerRuntime runtime, ProcessContext context) {
		AgentSettings.Worker worker = this.settings.worker();
		TaskAgentSettings taskSettings = new TaskAgentSettings(worker.name(), this.settings.rack(), worker.capacity(),
				TaskAgentSettings.Times.DEFAULT);
		TaskAgent agent = new TaskAgent(taskSettings, new AgentConditions(this.receiver, worker.reservedForService()),
				runtime, context.clock(), context.blockingTimer());
		agent.start();
		return agent;
	}

	private void configure(AgentConfiguration configuration) {
		boolean withdrawn = configuration.endpointsWithdrawn().contains(this.settings.endpoint().id());
		this.gate.configure(configuration.version(), !withdrawn && !configuration.domainOut());
	}

	/**
	 * Takes the endpoint out of service: refuses new requests and waits until those that
	 * were admitted have ended, at most for the drain time of the settings. Batch tasks
	 * go on.
	 */
	public void leaveEndpoint() {
		CompletableFuture<Void> left = this.gate.leave().toCompletableFuture();
		left.completeOnTimeout(null, this.settings.times().drain().toMillis(), TimeUnit.MILLISECONDS).join();
	}

	@Override
	public void stop() {
		leaveEndpoint();
		this.tasks.stop();
		this.links.forEach(PeerLink::close);
		this.gate.close();
		this.http.close();
	}

}
