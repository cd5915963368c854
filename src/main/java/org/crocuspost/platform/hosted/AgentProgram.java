package org.crocuspost.platform.hosted;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.daemon.DaemonCommand;
import org.crocuspost.dispatch.Departure;
import org.crocuspost.error.Failure;
import org.crocuspost.host.HostAgent;
import org.crocuspost.host.HostAgentSettings;
import org.crocuspost.host.HostEvent;
import org.crocuspost.host.HostMetrics;
import org.crocuspost.hostlink.LeaderPort;
import org.crocuspost.httpserver.HttpServerRequest;
import org.crocuspost.httpserver.HttpServerResponse;
import org.crocuspost.lead.LeaderRecord;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.rows.InstrumentedRowStore;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.Timer;

/**
 * Assembles and starts the agent on the host of a worker.
 */
final class AgentProgram {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final String INSTANCES_PATH = "/v1/instances/";

	private static final int STORE_CONNECTIONS = 1;

	private static final int WORKER_CONNECTIONS = 12;

	private static final Duration REGISTRATION_RETRY_DELAY = Duration.ofMillis(500);

	private static final int MAXIMUM_HEARTBEAT_BYTES = 64 * 1024;

	private final HostSettings settings;

	private final EventLoop loop;

	private final Timer timer;

	private final RowStore store;

	private final HostAgent agent;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final LeaderPort[] leaderPort = new LeaderPort[1];

	private volatile String lastIgnored = "";

	AgentProgram(HostSettings settings, EventLoop loop, Clock clock) {
		this.settings = settings;
		this.loop = loop;
		this.timer = new ExecutorTimer(loop);
		this.store = new InstrumentedRowStore(new HostedRowStore(new HttpCaller(loop, STORE_CONNECTIONS),
				settings.storeAddress(), new TrafficCounters(this.registry)), clock, this.registry);
		this.agent = new HostAgent(
				new HostAgentSettings(settings.name(), settings.limits().leaseDuration(), settings.heartbeatInterval()),
				new HostMetrics(this.registry),
				new HostedWorkerCalls(new HttpCaller(loop, WORKER_CONNECTIONS), settings.workerAddress().orElseThrow()),
				(listener) -> {
					this.leaderPort[0] = new LeaderPort(listener);
					return this.leaderPort[0];
				}, this::recordDeparture, clock, this.timer);
	}

	void start() {
		InetSocketAddress internal = new InetSocketAddress(this.settings.ip(), this.settings.internalPort());
		readEpoch();
		this.leaderPort[0].bind(this.loop, internal);
		this.loop.execute(() -> {
			this.agent.start();
			register();
		});
		HttpServers servers = new HttpServers(this.settings.maximumDescriptors());
		servers.startForPlatform(this.settings.heartbeatAddress().orElseThrow(), MAXIMUM_HEARTBEAT_BYTES,
				(request, responder) -> responder.accept(handleHeartbeat(request)));
		Monitoring.startLater(this.loop, this.settings, servers, this.registry, () -> true);
		DaemonCommand.logReady(Field.of("name", this.settings.name()), DaemonCommand.addressField("leader", internal));
	}

	/**
	 * Reads the epoch of the leader before any leader may connect. If the store does not
	 * answer, the agent starts without it: its tasks would lose their lease otherwise.
	 */
	private void readEpoch() {
		CompletableFuture<Either<Failure, StoredRow>> row = new CompletableFuture<>();
		this.loop.execute(() -> this.store.read(Tables.LEDGER, Tables.LEADER_KEY, row::complete));
		try {
			long epoch = row.join()
				.map((leader) -> LeaderRecord.read(leader.value()).epoch())
				.getOrElseThrow((failure) -> new IllegalArgumentException(failure.message()));
			this.leaderPort[0].requireEpoch(epoch);
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(HostEvent.EPOCH_UNKNOWN, Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Writes the address of this agent to the store, from which the leader reads it.
	 */
	private void register() {
		write(new RowTransaction.Write(Tables.INTAKE, Tables.HOST_PREFIX + this.settings.name(),
				this.settings.ip() + ":" + this.settings.internalPort()), HostEvent.HOST_REGISTERED);
	}

	private void recordDeparture(Departure departure) {
		write(new RowTransaction.Write(Tables.INTAKE, Tables.DEPARTURE_PREFIX + this.settings.name(),
				departure.write()), HostEvent.DEPARTURE_RECORDED);
	}

	private void write(RowTransaction.Write row, HostEvent event) {
		this.store.commit(RowTransaction.of(List.of(), List.of(row)), (answer) -> {
			if (answer.isRight()) {
				EventLog.info(event, Field.of("host", this.settings.name()),
						Field.of("version", answer.get().version()));
				return;
			}
			EventLog.warn(HostEvent.REGISTRATION_DELAYED, Field.of("key", row.key()),
					Field.of("reason", answer.getLeft().message()));
			this.timer.schedule(REGISTRATION_RETRY_DELAY, () -> write(row, event));
		});
	}

	private HttpServerResponse handleHeartbeat(HttpServerRequest request) {
		String path = request.uri();
		if (!path.startsWith(INSTANCES_PATH)) {
			return HttpServerResponse.json(BAD_REQUEST, JsonErrors.body("unknown path"));
		}
		String id = path.substring(INSTANCES_PATH.length());
		if (request.method().equals("DELETE")) {
			this.loop.execute(() -> this.agent.departureAnnounced(id));
			return HttpServerResponse.json(OK, "{}");
		}
		AnnouncementDecoder.decode(id, request.body())
			.peek((announcement) -> this.loop.execute(() -> this.agent.workerAnnounced(announcement)))
			.peekLeft((reason) -> logIgnored(id, reason));
		return HttpServerResponse.json(OK, "{}");
	}

	/**
	 * Logs an ignored heartbeat, unless the one before it was the same.
	 * @param id the identity that it names
	 * @param reason why it is ignored
	 */
	private void logIgnored(String id, String reason) {
		String ignored = id + ": " + reason;
		if (!ignored.equals(this.lastIgnored)) {
			this.lastIgnored = ignored;
			EventLog.warn(HostEvent.ANNOUNCEMENT_IGNORED, Field.of("worker", id), Field.of("reason", reason));
		}
	}

}
