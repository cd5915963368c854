package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.distribution.ConfigurationMetrics;
import org.crocuspost.distribution.ConfigurationPublisher;
import org.crocuspost.distribution.HeadWatcher;
import org.crocuspost.entry.CallerServer;
import org.crocuspost.entry.CallerSettings;
import org.crocuspost.entry.CompositeRequestListener;
import org.crocuspost.entry.RequestListener;
import org.crocuspost.membership.DirectoryPublisher;
import org.crocuspost.membership.MemberDirectory;
import org.crocuspost.membership.MembershipSettings;
import org.crocuspost.membership.SchedulerConnections;
import org.crocuspost.metrics.Health;
import org.crocuspost.metrics.HealthCheck;
import org.crocuspost.metrics.MonitoringServer;
import org.crocuspost.metrics.ProcessMetrics;
import org.crocuspost.operations.EndpointViews;
import org.crocuspost.operations.NoteOperations;
import org.crocuspost.operations.OperationsServer;
import org.crocuspost.operations.OperationsSettings;
import org.crocuspost.operations.OperationsViews;
import org.crocuspost.operations.RemoteBatchViews;
import org.crocuspost.operations.RequestLog;
import org.crocuspost.operations.SchedulerQueries;
import org.crocuspost.peer.CompositePeerListener;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerConnector;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.release.NoteAcceptance;
import org.crocuspost.release.NoteOutcome;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.report.BurnReport;
import org.crocuspost.report.ServiceLevelListener;
import org.crocuspost.report.ServiceLevelMetrics;
import org.crocuspost.report.ServiceLevels;
import org.crocuspost.retry.RequestRunner;
import org.crocuspost.retry.RetrySettings;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.routing.ExpectedTimePolicy;
import org.crocuspost.settings.EntrySettings;

/**
 * An entry: takes the requests of callers and operators.
 */
public final class EntryProcess implements Daemon {

	private static final Duration CROSS_DOMAIN_COST = Duration.ofMillis(2);

	private final EntrySettings settings;

	private final ProcessContext context;

	private final RandomGenerator random;

	private final PeerIdentity self;

	private final TableService table;

	private final SnapshotStore snapshots;

	private final HeadWatcher watcher;

	private final ConfigurationPublisher publisher;

	private final NoteRules rules;

	private final NoteAcceptance acceptance;

	private final MemberDirectory members;

	private final EndpointDirectory endpoints;

	private final SchedulerConnections schedulers;

	private final SchedulerQueries queries = new SchedulerQueries();

	private final RequestLog requestLog;

	private final ServiceLevels serviceLevels;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final PeerServer peers;

	private final ProcessMembership membership;

	private final CallerServer callers;

	private final OperationsServer operations;

	private final Health health;

	private final MonitoringServer monitoring;

	/**
	 * Starts an entry.
	 * @param settings the settings
	 * @param stores the platform's stores
	 * @param incarnation drawn at random for this process
	 * @param random spreads choices and polls
	 * @param context the threads and the time of the process
	 */
	public EntryProcess(EntrySettings settings, PlatformStores stores, String incarnation, RandomGenerator random,
			ProcessContext context) {
		this.settings = settings;
		this.context = context;
		this.random = random;
		this.self = new PeerIdentity(PeerIdentity.Role.ENTRY, settings.name(), incarnation, settings.failureDomain());
		this.table = stores.table();
		this.snapshots = new SnapshotStore(stores.objects());
		this.watcher = new HeadWatcher(this.table, this.snapshots, context.clock(), context.timer(), context.blockingExecutor(),
				random);
		this.publisher = new ConfigurationPublisher(this.watcher, context.clock(), context.timer());
		this.rules = new NoteRules(Set.copyOf(settings.failureDomains()));
		this.acceptance = new NoteAcceptance(this.table, this.snapshots, this.rules, context.clock(), this.watcher);
		this.members = new MemberDirectory(membershipTimes(), this.table, context.clock(),
				context.blockingTimer("members"));
		this.endpoints = new EndpointDirectory(this.watcher, context.clock(), context.timer());
		this.schedulers = connectSchedulers();
		this.requestLog = new RequestLog();
		this.serviceLevels = new ServiceLevels(this.watcher, context.clock());
		this.peers = startPeers();
		this.membership = new ProcessMembership(this.self, this.peers.address(), this.publisher::summary,
				membershipTimes(), this.table, context);
		this.callers = startCallers();
		this.operations = startOperations();
		this.health = new Health(List.of(), List.of(new HealthCheck("configuration", this.watcher::ready)));
		this.monitoring = startMonitoring();
		startControl();
	}

	private MembershipSettings membershipTimes() {
		EntrySettings.Times times = this.settings.times();
		return ProcessMembership.times(times.memberLease(), times.storePoll());
	}

	private SchedulerConnections connectSchedulers() {
		PeerConnector connector = new PeerConnector(this.context.eventLoopGroup(), peerSettings(), this.queries,
				this.context.timer());
		return new SchedulerConnections((address) -> connector.connect(address)::close, this.context.timer());
	}

	private PeerSettings peerSettings() {
		return PeerSettings.of(this.self, new DeploymentSecret(this.settings.secret().reveal()));
	}

	private PeerServer startPeers() {
		CompositePeerListener listener = new CompositePeerListener(
				List.of(this.endpoints, this.publisher, new DirectoryPublisher(this.members)));
		return PeerServer.start(this.settings.addresses().peers(), this.context.eventLoopGroup(), peerSettings(), listener,
				this.context.timer());
	}

	private CallerServer startCallers() {
		ExpectedTimePolicy policy = new ExpectedTimePolicy(this.settings.failureDomain(), CROSS_DOMAIN_COST,
				this.random);
		RequestRunner runner = new RequestRunner(this.endpoints, policy, RetrySettings.DEFAULT, this.context.clock(),
				this.context.timer());
		EntrySettings.Limits limits = this.settings.limits();
		CallerSettings callerSettings = new CallerSettings(this.settings.addresses().callers(),
				limits.maximumBodyBytes(), this.settings.times().maximumTimeout(), this.settings.times().idleTimeout(),
				limits.threads());
		return CallerServer.start(callerSettings, this.self.incarnation(), this.watcher, runner, requestListener(),
				this.context.clock(), this.context.timer());
	}

	private RequestListener requestListener() {
		ServiceLevelMetrics metrics = new ServiceLevelMetrics(this.watcher, this.registry);
		return new CompositeRequestListener(List.of(new ServiceLevelListener(this.serviceLevels),
				new ServiceLevelListener(metrics), this.requestLog));
	}

	private OperationsServer startOperations() {
		NoteOperations notes = new NoteOperations(this.acceptance, this.table, this.snapshots, this.watcher, this.rules,
				this.members);
		OperationsViews views = OperationsViews.EMPTY.withEndpoints(new EndpointViews(this.endpoints, this.watcher))
			.withBatch(RemoteBatchViews.of(this.queries))
			.withRequestExplainer(this.requestLog)
			.withBurn(() -> Either.right(burn()));
		OperationsSettings operationsSettings = new OperationsSettings(this.settings.addresses().operators(),
				this.settings.operatorToken(), this.settings.limits().maximumNoteBytes(),
				OperationsSettings.DEFAULT_REQUESTS_PER_SECOND);
		return OperationsServer.start(operationsSettings, this.settings.name(),
				Set.copyOf(this.settings.failureDomains()), notes, views, this.context.clock());
	}

	private MonitoringServer startMonitoring() {
		ProcessMetrics.register(this.registry);
		ConfigurationMetrics.register(this.publisher::summary, this.registry);
		return MonitoringServer.start(this.settings.addresses().monitoring(), this.registry, this.health);
	}

	private void startControl() {
		this.publisher.addSummaryListener(this.membership::changed);
		this.members.addListener(this.schedulers);
		this.watcher.start();
		this.membership.start();
		this.members.start();
	}

	/**
	 * Returns where callers connect.
	 * @return the address
	 */
	public InetSocketAddress callerAddress() {
		return this.callers.address();
	}

	/**
	 * Returns where agents connect.
	 * @return the address
	 */
	public InetSocketAddress peerAddress() {
		return this.peers.address();
	}

	/**
	 * Returns where operators connect.
	 * @return the address
	 */
	public InetSocketAddress operatorAddress() {
		return this.operations.address();
	}

	/**
	 * Returns where metrics and health are served.
	 * @return the address
	 */
	public InetSocketAddress monitoringAddress() {
		return this.monitoring.address();
	}

	/**
	 * Returns the configuration on which the entry acts.
	 * @return the source
	 */
	public ConfigurationSource configuration() {
		return this.watcher;
	}

	/**
	 * Submits a release note. Blocks.
	 * @param text the JSON text with comments
	 * @return what became of the note
	 */
	public NoteOutcome submit(String text) {
		return this.acceptance.submit(text);
	}

	/**
	 * Returns the service-level burn as this entry has counted it.
	 * @return a report for each service
	 */
	public List<BurnReport> burn() {
		return this.serviceLevels.report();
	}

	@Override
	public void stop() {
		this.health.drain();
		this.membership.stop();
		this.callers.drain()
			.toCompletableFuture()
			.completeOnTimeout(null, this.settings.times().drain().toMillis(), TimeUnit.MILLISECONDS)
			.join();
		this.callers.close();
		this.operations.close();
		this.publisher.stop();
		this.members.stop();
		this.schedulers.stop();
		this.watcher.stop();
		this.peers.close();
		this.monitoring.close();
	}

}
