package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.distribution.ConfigurationPublisher;
import org.crocuspost.distribution.HeadWatcher;
import org.crocuspost.distribution.ProcessConfirmation;
import org.crocuspost.entry.CallerServer;
import org.crocuspost.entry.CallerSettings;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.operations.NoteOperations;
import org.crocuspost.operations.OperationsServer;
import org.crocuspost.operations.OperationsSettings;
import org.crocuspost.operations.OperationsViews;
import org.crocuspost.peer.CompositePeerListener;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.release.NoteAcceptance;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.report.BurnReport;
import org.crocuspost.report.ServiceLevels;
import org.crocuspost.retry.RequestOutcome;
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

	private final HeadWatcher watcher;

	private final ConfigurationPublisher publisher;

	private final NoteAcceptance acceptance;

	private final PeerServer peers;

	private final ServiceLevels serviceLevels;

	private final CallerServer callers;

	private final OperationsServer operations;

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
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.ENTRY, settings.name(), incarnation,
				settings.failureDomain());
		SnapshotStore snapshots = new SnapshotStore(stores.objects());
		this.watcher = new HeadWatcher(stores.table(), snapshots, context.clock(), context.timer(), context.blocking(),
				random);
		this.publisher = new ConfigurationPublisher(this.watcher, context.clock(), context.timer());
		NoteRules rules = new NoteRules(Set.copyOf(settings.failureDomains()));
		this.acceptance = new NoteAcceptance(stores.table(), snapshots, rules, context.clock(), this.watcher);
		EndpointDirectory directory = new EndpointDirectory(this.watcher, context.clock(), context.timer());
		this.peers = PeerServer.start(settings.addresses().peers(), context.network(),
				PeerSettings.of(self, new DeploymentSecret(settings.secret().reveal())),
				new CompositePeerListener(List.of(directory, this.publisher)), context.timer());
		this.serviceLevels = new ServiceLevels(this.watcher, context.clock());
		this.callers = startCallers(directory, incarnation, random, context);
		this.operations = startOperations(stores, snapshots, rules, context);
		this.watcher.start();
	}

	private OperationsServer startOperations(PlatformStores stores, SnapshotStore snapshots, NoteRules rules,
			ProcessContext context) {
		NoteOperations notes = new NoteOperations(this.acceptance, stores.table(), snapshots, this.watcher, rules,
				this::confirmations);
		OperationsSettings operationsSettings = new OperationsSettings(this.settings.addresses().operators(),
				this.settings.operatorToken(), this.settings.limits().maximumNoteBytes(),
				OperationsSettings.DEFAULT_REQUESTS_PER_SECOND);
		OperationsViews views = OperationsViews.EMPTY.withBurn(() -> Either.right(this.serviceLevels.report()));
		return OperationsServer.start(operationsSettings, this.settings.name(),
				Set.copyOf(this.settings.failureDomains()), notes, views, context.clock());
	}

	private Either<Failure, List<ProcessConfirmation>> confirmations() {
		return Either.right(List.of(new ProcessConfirmation("entry", this.settings.name(), this.publisher.summary())));
	}

	private void recordServiceLevel(String service, RequestOutcome outcome, Duration latency) {
		this.serviceLevels.record(service, outcome.verdict() == Verdict.RAN, latency);
	}

	private CallerServer startCallers(EndpointDirectory directory, String incarnation, RandomGenerator random,
			ProcessContext context) {
		ExpectedTimePolicy policy = new ExpectedTimePolicy(this.settings.failureDomain(), CROSS_DOMAIN_COST, random);
		RequestRunner runner = new RequestRunner(directory, policy, RetrySettings.DEFAULT, context.clock(),
				context.timer());
		EntrySettings.Limits limits = this.settings.limits();
		CallerSettings callerSettings = new CallerSettings(this.settings.addresses().callers(),
				limits.maximumBodyBytes(), this.settings.times().maximumTimeout(), this.settings.times().idleTimeout(),
				limits.threads());
		return CallerServer.start(callerSettings, incarnation, this.watcher, runner, this::recordServiceLevel,
				context.clock(), context.timer());
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
	 * Returns the configuration on which the entry acts.
	 * @return the source
	 */
	public ConfigurationSource configuration() {
		return this.watcher;
	}

	/**
	 * Returns where operators connect.
	 * @return the address
	 */
	public InetSocketAddress operatorAddress() {
		return this.operations.address();
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
		this.callers.drain()
			.toCompletableFuture()
			.completeOnTimeout(null, this.settings.times().drain().toMillis(), TimeUnit.MILLISECONDS)
			.join();
		this.callers.close();
		this.operations.close();
		this.publisher.stop();
		this.watcher.stop();
		this.peers.close();
	}

}
