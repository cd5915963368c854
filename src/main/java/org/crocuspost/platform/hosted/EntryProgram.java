package org.crocuspost.platform.hosted;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.daemon.DaemonCommand;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.hostlink.HostLink;
import org.crocuspost.httpserver.HttpServer;
import org.crocuspost.httpserver.HttpServerResponse;
import org.crocuspost.ingress.AdmissionControl;
import org.crocuspost.ingress.IngressEvent;
import org.crocuspost.ingress.IngressMetrics;
import org.crocuspost.ingress.JobDirectory;
import org.crocuspost.ingress.JobService;
import org.crocuspost.ingress.LedgerView;
import org.crocuspost.lead.LeaderElector;
import org.crocuspost.lead.LeaderMetrics;
import org.crocuspost.lead.TableWatchSettings;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.rows.CircuitBreakingRowStore;
import org.crocuspost.rows.InstrumentedRowStore;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.store.CircuitBreaker;
import org.crocuspost.store.ProtectionSettings;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Assembles and runs an entry: a process on a host that callers reach, which accepts jobs
 * and is a candidate for leadership.
 */
final class EntryProgram {

	/**
	 * Age of the view of the store below which the entry is ready. With an older view it
	 * is not ready, since other entries may still reach the store.
	 */
	private static final Duration MAXIMUM_READY_VIEW_AGE = Duration.ofMillis(3_000);

	/**
	 * Time for which a stopping entry continues to serve requests. The platform checks
	 * readiness once a second and takes an entry out of service after two failed checks.
	 */
	private static final Duration DRAIN_DURATION = Duration.ofMillis(2_600);

	/**
	 * Time for which a stopping entry goes on, after the drain, to learn the outcomes of
	 * the requests in flight. It covers what callers are promised: an answer within 0.78
	 * of 3,000 ms.
	 */
	private static final Duration ANSWER_LIMIT = Duration.ofMillis(2_400);

	/**
	 * Time to send the last answers and to close the connections before the platform
	 * kills the process.
	 */
	private static final Duration CLOSE_DURATION = Duration.ofMillis(900);

	private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(50);

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int STORE_CONNECTIONS = 8;

	private static final int MAXIMUM_READINESS_BODY_BYTES = 4_096;

	private final HostSettings settings;

	private final EventLoop loop;

	private final OperatorTable operator;

	private final RowWatch ledgerWatch;

	private final LeaderElector leaderElector;

	private final JobService jobService;

	private final InFlightRequests requestsInFlight = new InFlightRequests();

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private @Nullable HttpServer callerServer;

	private volatile boolean ready;

	private volatile boolean stopping;

	EntryProgram(HostSettings settings, EventLoop loop, Clock clock) {
		this.settings = settings;
		this.loop = loop;
		Timer timer = new ExecutorTimer(loop);
		TrafficCounters traffic = new TrafficCounters(this.registry);
		RowStore store = new InstrumentedRowStore(
				new HostedRowStore(new HttpCaller(loop, STORE_CONNECTIONS), settings.storeAddress(), traffic), clock,
				this.registry);
		RowStore protectedStore = new CircuitBreakingRowStore(store,
				new CircuitBreaker(ProtectionSettings.DEFAULT, clock, RandomGenerator.getDefault()));
		this.operator = new OperatorTable(protectedStore, clock, timer);
		AtomicReference<LeaderElector> electorReference = new AtomicReference<>();
		AtomicReference<RowWatch> ledgerReference = new AtomicReference<>();
		JobDirectory directory = new JobDirectory((row) -> electorReference.get().leaderRowChanged(row),
				new AdmissionControl(clock),
				(recordedSubmissions) -> LedgerView.of(ledgerReference.get(), recordedSubmissions));
		this.ledgerWatch = new RowWatch(protectedStore, Tables.LEDGER, TableWatchSettings.LEDGER_WATCH, directory,
				clock, timer);
		ledgerReference.set(this.ledgerWatch);
		this.leaderElector = new LeaderElector(settings.name(), settings.capacity(), store, this.ledgerWatch,
				this.operator,
				new DispatchSettings(settings.limits().leaseDuration(),
						settings.limits().statusRetention().plus(DispatchSettings.RETENTION_MARGIN),
						settings.limits().remotePenalty(), settings.admissionControl()),
				new LeaderMetrics(this.registry), traffic, HostLink.connector(traffic, loop, timer, clock), clock,
				timer, processStartNanos(clock));
		electorReference.set(this.leaderElector);
		this.jobService = new JobService(protectedStore, store, this.operator, directory,
				new IngressMetrics(this.registry), clock, timer);
		timer.repeat(Duration.ofMillis(100), this::updateReadiness);
	}

	private static long processStartNanos(Clock clock) {
		return clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ManagementFactory.getRuntimeMXBean().getUptime());
	}

	void start() {
		this.loop.execute(() -> {
			this.operator.start();
			this.ledgerWatch.start();
			this.leaderElector.start();
		});
		HttpServers servers = new HttpServers(this.settings.maximumDescriptors());
		this.callerServer = servers.startForClients(this.settings.callerAddress().orElseThrow(),
				JobHttpHandler.MAXIMUM_BODY_BYTES,
				new JobHttpHandler(this.jobService, this.loop, this.requestsInFlight));
		this.settings.readinessAddress()
			.ifPresent((address) -> servers.startForPlatform(address, MAXIMUM_READINESS_BODY_BYTES, (request,
					responder) -> responder.accept(HttpServerResponse.json(this.ready ? OK : UNAVAILABLE, "{}"))));
		Monitoring.startLater(this.loop, this.settings, servers, this.registry, () -> this.ready);
		DaemonCommand.logReady(Field.of("name", this.settings.name()),
				DaemonCommand.addressField("callers", this.settings.callerAddress().orElseThrow()));
	}

	private void updateReadiness() {
		boolean next = !this.stopping && this.operator.configuration().isPresent()
				&& this.ledgerWatch.age().compareTo(MAXIMUM_READY_VIEW_AGE) < 0;
		if (next != this.ready) {
			this.ready = next;
			EventLog.info(IngressEvent.READINESS_CHANGED, Field.of("ready", next), Field.of("stopping", this.stopping),
					Field.of("storeViewAge", this.ledgerWatch.age()));
		}
	}

	/**
	 * Stops gracefully: resigns the leadership, closes idle connections and asks callers
	 * to close the others, serves requests until the platform routes no more callers to
	 * this entry, and answers the requests in flight. Then it closes the connections: the
	 * process takes some time to exit, and a request that it reads meanwhile would get no
	 * answer.
	 */
	void stop() {
		this.stopping = true;
		this.requestsInFlight.close();
		this.loop.execute(this.leaderElector::resign);
		pause(DRAIN_DURATION);
		this.requestsInFlight.closeIdleConnections();
		Duration answerLimit = answerLimit(this.settings.limits().stopGrace());
		this.loop.execute(() -> this.jobService.answerWithin(answerLimit));
		// The answers that the limit causes still have to be sent.
		long steps = answerLimit.dividedBy(STOP_POLL_INTERVAL) + 2;
		for (long step = 0; step < steps && this.requestsInFlight.count() > 0; step++) {
			pause(STOP_POLL_INTERVAL);
		}
		closeCallerConnections();
	}

	/**
	 * Returns the time after the drain within which a stopping entry answers.
	 * @param stopGrace the time from the request to stop until the process is killed
	 * @return the time
	 */
	static Duration answerLimit(Duration stopGrace) {
		Duration available = stopGrace.minus(DRAIN_DURATION).minus(CLOSE_DURATION);
		if (available.isNegative()) {
			return Duration.ZERO;
		}
		return (available.compareTo(ANSWER_LIMIT) < 0) ? available : ANSWER_LIMIT;
	}

	private void closeCallerConnections() {
		if (this.callerServer == null) {
			return;
		}
		try {
			this.callerServer.close();
		}
		catch (RuntimeException ex) {
			// The connections are closed when the process exits.
			EventLog.warn(IngressEvent.CLOSE_FAILED, Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	private void pause(Duration duration) {
		CountDownLatch elapsed = new CountDownLatch(1);
		this.loop.schedule(elapsed::countDown, duration.toNanos(), TimeUnit.NANOSECONDS);
		try {
			elapsed.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
