package org.crocuspost.bench.request;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.crocuspost.admission.AdmissionController;
import org.crocuspost.admission.AdmissionSettings;
import org.crocuspost.admission.RatpackEndpointClient;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationListener;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.ServiceMatch;
import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.entry.CallerServer;
import org.crocuspost.entry.CallerSettings;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerConnector;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerLink;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.retry.RequestRunner;
import org.crocuspost.retry.RetrySettings;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.routing.RoutingPolicy;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.SystemClock;
import org.crocuspost.time.Timer;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;

/**
 * Runs one entry with agents and endpoints in one process, connected over loopback
 * sockets.
 */
final class BenchmarkCluster implements AutoCloseable {

	static final int SLOTS_PER_ENDPOINT = 8;

	private static final int CONNECTIONS_PER_ENDPOINT = 64;

	private static final String SERVICE = "benchmark";

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final Duration ANNOUNCEMENT_POLL_INTERVAL = Duration.ofMillis(10);

	private static final int FAILURE_DOMAINS = 3;

	private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(4);

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);

	private final Timer timer = new ExecutorTimer(this.executor);

	private final Clock clock = new SystemClock();

	private final ExecController execController = new DefaultExecController(2);

	private final DeploymentSecret secret = new DeploymentSecret("benchmark");

	private final List<EndpointStandIn> endpoints = new ArrayList<>();

	private final List<AdmissionController> admissionControllers = new ArrayList<>();

	private final List<PeerLink> links = new ArrayList<>();

	private final EndpointDirectory directory;

	private final PeerServer peerServer;

	private final CallerServer callerServer;

	BenchmarkCluster(int agentCount, Duration serviceTime, RoutingPolicy policy) {
		this.directory = new EndpointDirectory(new FixedConfiguration(), this.clock, this.timer);
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.ENTRY, "entry", "entry-1", "domain-0");
		this.peerServer = PeerServer.start(loopback(), this.eventLoopGroup, PeerSettings.of(self, this.secret),
				this.directory, this.timer);
		RequestRunner runner = new RequestRunner(this.directory, policy, RetrySettings.DEFAULT, this.clock, this.timer);
		this.callerServer = CallerServer.start(CallerSettings.of(loopback()), "entry-1", new FixedConfiguration(),
				runner, (service, outcome, latency) -> {
				}, this.clock, this.timer);
		for (int index = 0; index < agentCount; index++) {
			addAgent(index, serviceTime);
		}
		while (this.directory.endpoints().size() < agentCount) {
			LockSupport.parkNanos(ANNOUNCEMENT_POLL_INTERVAL.toNanos());
		}
	}

	private static InetSocketAddress loopback() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
	}

	private void addAgent(int index, Duration serviceTime) {
		EndpointStandIn endpoint = new EndpointStandIn(this.eventLoopGroup, this.timer);
		endpoint.setServiceTime(serviceTime);
		String name = "agent-" + index;
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.AGENT, name, name + "-1",
				"domain-" + index % FAILURE_DOMAINS);
		AdmissionSettings settings = AdmissionSettings.of(name, SERVICE, endpoint.address(), SLOTS_PER_ENDPOINT,
				CONNECTIONS_PER_ENDPOINT);
		AdmissionController admissionController = new AdmissionController(settings, self.incarnation(),
				new RatpackEndpointClient(settings, this.execController), this.clock, this.timer);
		PeerConnector connector = new PeerConnector(this.eventLoopGroup, PeerSettings.of(self, this.secret),
				admissionController, this.timer);
		this.links.add(connector.connect(this.peerServer.address()));
		this.endpoints.add(endpoint);
		this.admissionControllers.add(admissionController);
	}

	URI callerAddress() {
		return URI.create("http://127.0.0.1:" + this.callerServer.address().getPort() + "/");
	}

	EndpointStandIn endpoint(int index) {
		return this.endpoints.get(index);
	}

	AdmissionController admissionController(int index) {
		return this.admissionControllers.get(index);
	}

	@Override
	public void close() {
		this.callerServer.close();
		this.links.forEach(PeerLink::close);
		this.admissionControllers.forEach(AdmissionController::close);
		this.peerServer.close();
		this.endpoints.forEach(EndpointStandIn::close);
		this.execController.close();
		this.executor.shutdownNow();
		this.eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Provides a constant configuration that contains only the service of the benchmark.
	 */
	private static final class FixedConfiguration implements ConfigurationSource {

		private final Configuration configuration = new Configuration(1, "benchmark",
				Map.of(SERVICE,
						new ServiceSpecification(SERVICE, new ServiceMatch("*", "/"),
								new ServiceObjective(TIMEOUT, 0.99, 0.999), 0, TIMEOUT,
								ServiceSpecification.DEFAULT_IDEMPOTENT_METHODS)),
				Map.of(), Set.of(), Set.of(), Map.of());

		@Override
		public Configuration current() {
			return this.configuration;
		}

		@Override
		public void addListener(ConfigurationListener listener) {
			// The configuration never changes.
		}

	}

}
