package org.crocuspost.platform.hosted;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.daemon.DaemonCommand;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.ingress.IngressEvent;
import org.crocuspost.ingress.IngressMetrics;
import org.crocuspost.ingress.JobDesk;
import org.crocuspost.ingress.JobDirectory;
import org.crocuspost.lead.LeaderMetrics;
import org.crocuspost.lead.LeaderElector;
import org.crocuspost.lead.TableWatchSettings;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
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
import ratpack.handling.Context;

/**
 * Entry on a host that callers reach: takes jobs and is a candidate for the leadership.
 */
final class EntryProgram {

	/**
	 * An entry whose view of the store is older is not ready: other entries may reach the
	 * store.
	 */
	private static final Duration READY_VIEW = Duration.ofMillis(3_000);

	/**
	 * Time for which a stopping entry goes on to serve: the platform asks for readiness
	 * once a second and takes an entry out after two misses.
	 */
	private static final Duration DRAIN_TIME = Duration.ofMillis(2_600);

	/**
	 * Then it waits so long at most for the requests that are still in flight.
	 */
	private static final Duration FINISH_TIME = Duration.ofMillis(1_600);

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int STORE_CONNECTIONS = 8;

	private final HostSettings settings;

	private final EventLoop loop;

	private final OperatorTable operator;

	private final RowWatch ledger;

	private final LeaderElector leadership;

	private final JobDesk desk;

	private final Requests requests = new Requests();

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private volatile boolean ready;

	private volatile boolean stopping;

	EntryProgram(HostSettings settings, EventLoop loop, Clock clock) {
		this.settings = settings;
		this.loop = loop;
		Timer timer = new ExecutorTimer(loop);
		RowStore store = new InstrumentedRowStore(
				new HostedRowStore(new HttpCaller(loop, STORE_CONNECTIONS), settings.storeAddress()), clock,
				this.registry);
		RowStore protectedStore = new CircuitBreakingRowStore(store,
				new CircuitBreaker(ProtectionSettings.DEFAULT, clock, RandomGenerator.getDefault()));
		this.operator = new OperatorTable(protectedStore, clock, timer);
		AtomicReference<LeaderElector> candidate = new AtomicReference<>();
		JobDirectory directory = new JobDirectory((row) -> candidate.get().leaderRowChanged(row));
		this.ledger = new RowWatch(protectedStore, Tables.LEDGER, TableWatchSettings.LEDGER_WATCH, directory, clock,
				timer);
		this.leadership = new LeaderElector(settings.name(), store, this.ledger, this.operator,
				new DispatchSettings(settings.limits().leaseDuration(),
						settings.limits().statusRetention().plus(DispatchSettings.RETENTION_MARGIN),
						settings.limits().remotePenalty()),
				new LeaderMetrics(this.registry), loop, clock, timer);
		candidate.set(this.leadership);
		this.desk = new JobDesk(protectedStore, this.operator, directory, new IngressMetrics(this.registry), clock);
		timer.repeat(Duration.ofMillis(100), this::updateReadiness);
	}

	void start() {
		this.loop.execute(() -> {
			this.operator.start();
			this.ledger.start();
			this.leadership.start();
		});
		Ports.listen(this.settings.callerAddress().orElseThrow(), new CallerPort(this.desk, this.loop, this.requests));
		this.settings.readinessAddress().ifPresent((address) -> Ports.listen(address, this::readiness));
		Monitoring.startLater(this.loop, this.settings, this.registry, () -> this.ready);
		DaemonCommand.logReady(Field.of("name", this.settings.name()),
				DaemonCommand.address("callers", this.settings.callerAddress().orElseThrow()));
	}

	private void readiness(Context context) {
		context.getResponse().status(this.ready ? OK : UNAVAILABLE).send("application/json", "{}");
	}

	private void updateReadiness() {
		boolean next = !this.stopping && this.operator.configuration().isPresent()
				&& this.ledger.age().compareTo(READY_VIEW) < 0;
		if (next != this.ready) {
			this.ready = next;
			EventLog.info(IngressEvent.READINESS_CHANGED, Field.of("ready", next), Field.of("stopping", this.stopping),
					Field.of("storeViewAge", this.ledger.age()));
		}
	}

	/**
	 * Stops gracefully: gives the leadership up, serves until the platform sends no more
	 * callers, and finishes what is in flight.
	 */
	void stop() {
		this.stopping = true;
		this.loop.execute(this.leadership::resign);
		pause(DRAIN_TIME);
		this.requests.close();
		long steps = FINISH_TIME.toMillis() / 50;
		for (long step = 0; step < steps && this.requests.inFlight() > 0; step++) {
			pause(Duration.ofMillis(50));
		}
	}

	private void pause(Duration duration) {
		CountDownLatch over = new CountDownLatch(1);
		this.loop.schedule(over::countDown, duration.toNanos(), TimeUnit.NANOSECONDS);
		try {
			over.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
