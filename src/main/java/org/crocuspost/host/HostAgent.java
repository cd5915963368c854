package org.crocuspost.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import org.crocuspost.dispatch.Departure;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.hostlink.LeaderPort;
import org.crocuspost.hostlink.LeaderPortListener;
import org.crocuspost.job.TaskKey;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.StopOrder;
import org.crocuspost.wire.TaskTraits;
import org.crocuspost.wire.TraitsOfRun;
import org.crocuspost.wire.WorkerDescription;
import org.jspecify.annotations.Nullable;

/**
 * Gives the worker the leader's orders and reports what the worker runs.
 *
 * <p>
 * A lease is extended only by the leader's answer to a report, and counts from the
 * worker's clock as it was before the report: so the leader knows a time after which a
 * worker that it does not reach runs nothing, whatever the clocks and pauses of this
 * process are. Used on the event loop only.
 */
public final class HostAgent implements LeaderPortListener {

	private final HostAgentSettings settings;

	private final HostMetrics metrics;

	private final WorkerCalls worker;

	private final LeaderPort leader;

	private final Consumer<Departure> departures;

	private final Clock clock;

	private final Timer timer;

	private final String life;

	private long fence;

	private @Nullable WorkerAnnouncement announcement;

	private boolean left;

	/**
	 * Whether another life than the announced one has answered. The wall clock may have
	 * been set back between the two, so the next announcement counts whatever its birth.
	 */
	private boolean disproved;

	private long workerClockMillis;

	private long answeredNanos;

	private boolean answered;

	private boolean holdFailed;

	private boolean silent;

	private long leaseUntilMillis;

	private long recordedEnds;

	private long handledOrder;

	private long holdNumber;

	private List<RunningTask> running = List.of();

	private final TreeMap<Long, EndedTask> ended = new TreeMap<>();

	private boolean endsFollow;

	private final Map<RunKey, PendingStart> pending = new LinkedHashMap<>();

	private final List<RefusedStart> refused = new ArrayList<>();

	private final Map<RunKey, TaskTraits> traits = new HashMap<>();

	private final Map<RunKey, Integer> paces = new HashMap<>();

	private final Map<RunKey, Long> stopsSentNanos = new HashMap<>();

	private PaceController pace = new PaceController(PaceSettings.DEFAULT);

	/**
	 * Creates an agent. It works from {@link #start()}.
	 * @param settings the settings
	 * @param metrics metrics of the agent
	 * @param worker calls the worker
	 * @param leaderPort creates the port for the leader
	 * @param departures records the end of a worker for leaders to come
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public HostAgent(HostAgentSettings settings, HostMetrics metrics, WorkerCalls worker,
			Function<LeaderPortListener, LeaderPort> leaderPort, Consumer<Departure> departures, Clock clock,
			Timer timer) {
		this.settings = settings;
		this.metrics = metrics;
		this.worker = worker;
		this.departures = departures;
		this.clock = clock;
		this.timer = timer;
		// A later life must have a higher token than all earlier ones. The wall clock
		// rises between lives; if it was set back, the worker says so and the token is
		// raised.
		this.fence = clock.instant().toEpochMilli();
		this.life = settings.host() + "-" + this.fence;
		this.leader = leaderPort.apply(this);
	}

	/**
	 * Begins to report.
	 */
	public void start() {
		this.timer.repeat(HostAgentSettings.REPORT_INTERVAL, this::tick);
	}

	/**
	 * Learns of an announcement of the worker.
	 * @param next the announcement
	 */
	public void workerAnnounced(WorkerAnnouncement next) {
		WorkerAnnouncement known = this.announcement;
		if (known != null && known.sameLife(next) && next.sequence() < known.sequence()) {
			return;
		}
		if (known != null && !this.disproved && !known.sameLife(next) && next.born() < known.born()) {
			EventLog.info(HostEvent.ANNOUNCEMENT_IGNORED, Field.of("worker", next.id()), Field.of("born", next.born()),
					Field.of("reason", "a later life is known"));
			return;
		}
		boolean newLife = known == null || !known.sameLife(next);
		if (newLife) {
			this.disproved = false;
			beginLife(next);
		}
		if (next.draining() && (newLife || !known.draining())) {
			EventLog.info(HostEvent.WORKER_DRAINING, Field.of("worker", next.id()),
					Field.of("remainingMillis", next.remainingMillis()));
		}
		this.announcement = next;
		if (newLife) {
			hold(++this.holdNumber);
		}
		else if (next.draining() && !known.draining()) {
			report();
		}
	}

	private void beginLife(WorkerAnnouncement next) {
		EventLog.info(HostEvent.WORKER_SEEN, Field.of("worker", next.id()), Field.of("born", next.born()),
				Field.of("service", next.service()), Field.of("milliCores", next.milliCores()));
		if (this.announcement != null && !this.announcement.id().equals(next.id())) {
			// Orders for another identity are refused by the worker.
			this.pending.clear();
		}
		forgetLife();
	}

	/**
	 * Forgets what belongs to one life of the worker. Until the next life is announced,
	 * nothing is started, and reports do not name the worker.
	 */
	private void forgetLife() {
		// An order of the forgotten life that is carried out late must not act in the
		// next.
		this.fence++;
		this.left = false;
		this.workerClockMillis = 0;
		this.leaseUntilMillis = 0;
		this.recordedEnds = 0;
		this.answered = false;
		this.running = List.of();
		this.endsFollow = false;
		this.ended.clear();
		// A start that has not shown in the lists may have reached the new life.
		this.pending.values().forEach(PendingStart::reopen);
		this.paces.clear();
		this.stopsSentNanos.clear();
		this.pace = new PaceController(PaceSettings.DEFAULT);
	}

	/**
	 * Learns that the worker leaves. The message may be late and mean an earlier life of
	 * the same identity, so the worker counts as gone only once it no longer answers.
	 * @param id the identity of the worker
	 */
	public void departureAnnounced(String id) {
		WorkerAnnouncement known = this.announcement;
		if (known == null || !known.id().equals(id)) {
			return;
		}
		EventLog.info(HostEvent.WORKER_DEPARTING, Field.of("worker", id), Field.of("born", known.born()));
		awaitDeparture(known, this.clock.nanoTime());
	}

	private void awaitDeparture(WorkerAnnouncement departing, long saidNanos) {
		this.timer.schedule(HostAgentSettings.DEPARTURE_MARGIN, () -> {
			WorkerAnnouncement current = this.announcement;
			if (current == null || !current.sameLife(departing) || this.left) {
				return;
			}
			long now = this.clock.nanoTime();
			boolean answersStill = this.answered
					&& now - this.answeredNanos < HostAgentSettings.DEPARTURE_SILENCE.toNanos();
			if (!answersStill) {
				leave(departing);
			}
			else if (now - saidNanos < HostAgentSettings.DEPARTURE_VALIDITY.toNanos()) {
				awaitDeparture(departing, saidNanos);
			}
			else {
				EventLog.info(HostEvent.ANNOUNCEMENT_IGNORED, Field.of("worker", departing.id()),
						Field.of("reason", "it said that it leaves and still answers"));
			}
		});
	}

	private void leave(WorkerAnnouncement departing) {
		EventLog.info(HostEvent.WORKER_LEFT, Field.of("worker", departing.id()), Field.of("born", departing.born()),
				Field.of("running", this.running.size()));
		this.left = true;
		this.running = List.of();
		this.pending.clear();
		this.departures
			.accept(new Departure(departing.id(), departing.born(), this.clock.instant().toEpochMilli(), this.life));
		report();
	}

	private void hold(long number) {
		WorkerAnnouncement life = this.announcement;
		if (life == null || number != this.holdNumber || this.left) {
			return;
		}
		long askedNanos = this.clock.nanoTime();
		// After a failed call the worker may be in another life, whose ends have the same
		// numbers, so nothing is acknowledged and no lease extended until the worker has
		// said which life it is in.
		boolean certain = this.answered && !this.holdFailed;
		Duration patience = certain ? HostAgentSettings.HOLD_PATIENCE : Duration.ZERO;
		long acknowledged = certain ? this.recordedEnds : 0;
		long lease = certain ? this.leaseUntilMillis : 0;
		long usedFence = this.fence;
		this.worker.hold(life, usedFence, acknowledged, lease, patience, (answer) -> {
			if (number == this.holdNumber) {
				if (answer.isLeft()) {
					learnFence(answer.getLeft(), usedFence);
				}
				held(life, answer, askedNanos);
				Duration pause = answer.isRight() ? HostAgentSettings.HOLD_PAUSE : HostAgentSettings.HOLD_RETRY_PAUSE;
				this.timer.schedule(pause, () -> hold(number));
			}
		});
	}

	private void held(WorkerAnnouncement life, Either<OrderOutcome, WorkerState> answer, long askedNanos) {
		this.metrics.held(answer.isRight(), this.clock.nanoTime() - askedNanos);
		this.holdFailed = answer.isLeft();
		if (answer.isLeft()) {
			this.disproved |= answer.getLeft().kind() == OrderOutcome.Kind.OTHER_LIFE;
			return;
		}
		WorkerState state = answer.get();
		if (state.born() != 0 && state.born() != life.born()) {
			this.disproved = true;
			if (this.answered) {
				EventLog.info(HostEvent.WORKER_RESTARTED, Field.of("worker", life.id()),
						Field.of("former", life.born()), Field.of("born", state.born()));
				forgetLife();
			}
			return;
		}
		if (!this.answered) {
			EventLog.info(HostEvent.WORKER_LISTED, Field.of("worker", life.id()), Field.of("fence", this.fence),
					Field.of("running", state.running().size()), Field.of("ended", state.ended().size()));
		}
		this.answered = true;
		this.answeredNanos = this.clock.nanoTime();
		this.workerClockMillis = Math.max(this.workerClockMillis, state.clockMillis());
		this.running = state.running();
		this.endsFollow = state.ended().size() >= HostAgentSettings.LISTED_ENDS;
		state.ended().forEach((end) -> {
			if (end.getNumber() > this.recordedEnds) {
				this.ended.put(end.getNumber(), end);
			}
		});
		settlePending(askedNanos);
		adaptPace(life);
		report();
	}

	/**
	 * Forgets pending starts whose outcome the worker's lists now show.
	 * @param askedNanos when the worker was asked for the lists
	 */
	private void settlePending(long askedNanos) {
		for (RunningTask run : this.running) {
			this.pending.remove(RunKey.of(run));
		}
		for (EndedTask end : this.ended.values()) {
			this.pending.remove(new RunKey(TaskNames.key(end.getTask()), end.getRun()));
		}
		this.pending.values().removeIf((start) -> start.settledNanos != 0 && start.settledNanos < askedNanos);
	}

	/**
	 * Takes a higher fencing token if the worker knows a higher one than the present one.
	 * @param outcome what the worker answered
	 * @param usedFence the token of that call
	 */
	private void learnFence(OrderOutcome outcome, long usedFence) {
		if (outcome.kind() == OrderOutcome.Kind.FENCED && usedFence == this.fence) {
			this.fence += HostAgentSettings.FENCE_STEP;
			EventLog.warn(HostEvent.FENCE_RAISED, Field.of("fence", this.fence), Field.of("former", usedFence));
		}
	}

	private void adaptPace(WorkerAnnouncement life) {
		List<PaceController.ObservedRun> observed = new ArrayList<>();
		for (RunningTask run : this.running) {
			RunKey key = RunKey.of(run);
			TaskTraits known = this.traits.get(key);
			if (known != null) {
				observed.add(new PaceController.ObservedRun(run, known, this.paces.getOrDefault(key, FULL_PACE)));
			}
		}
		for (PaceController.Change change : this.pace.decide(observed, this.clock.nanoTime())) {
			RunKey key = RunKey.of(change.run().running());
			int former = change.run().pace();
			this.paces.put(key, change.pace());
			EventLog.info(HostEvent.PACE_CHANGED, Field.of("task", key.task()), Field.of("run", key.run()),
					Field.of("pace", change.pace()), Field.of("former", former));
			this.worker.pace(life, this.fence, key.task(), key.run(), change.pace(), (outcome) -> {
				if (outcome.kind() != OrderOutcome.Kind.OBEYED) {
					// The next decision orders the pace again.
					this.paces.put(key, former);
				}
			});
		}
	}

	private void tick() {
		boolean answers = workerAnswers();
		if (this.announcement != null && answers == this.silent) {
			this.silent = !answers;
			EventLog.info(answers ? HostEvent.WORKER_REGAINED : HostEvent.WORKER_SILENT,
					Field.of("worker", this.announcement.id()));
		}
		if (!answers) {
			report();
		}
		retryStops();
	}

	private boolean workerAnswers() {
		return this.answered && !this.left
				&& this.clock.nanoTime() - this.answeredNanos < HostAgentSettings.WORKER_SILENCE.toNanos();
	}

	private void report() {
		if (this.leader.connected()) {
			this.leader.send(composeReport());
			this.refused.clear();
		}
	}

	HostReport composeReport() {
		HostReport.Builder report = HostReport.newBuilder()
			.setHost(this.settings.host())
			.setLife(this.life)
			.setLeaseStamp(this.workerClockMillis)
			.setWorkerAnswers(workerAnswers() && !this.holdFailed)
			.setHandledOrder(this.handledOrder)
			.setEndsFollow(this.endsFollow)
			.setListsAgeMillis(this.answered ? (this.clock.nanoTime() - this.answeredNanos) / 1_000_000 : 0);
		// Empty lists would say that nothing runs there, so the report names no worker
		// until its lists are read.
		if (this.announcement != null && (this.answered || this.left)) {
			report.setWorker(describe(this.announcement));
		}
		for (RunningTask run : this.running) {
			report.addRunning(run.toBuilder().setPace(this.paces.getOrDefault(RunKey.of(run), FULL_PACE)));
		}
		this.pending.values().forEach((start) -> report.addPending(start.message));
		report.addAllEnded(this.ended.values());
		return report.addAllRefused(this.refused).build();
	}

	private WorkerDescription describe(WorkerAnnouncement known) {
		return WorkerDescription.newBuilder()
			.setId(known.id())
			.setBorn(known.born())
			.setService(known.service())
			.setFailureDomain(known.failureDomain())
			.setDraining(known.draining())
			.setRemainingMillis(known.remainingMillis())
			.setColdMillis(known.coldMillis())
			.setMilliCores(known.milliCores())
			.setMemoryMegabytes(known.memoryMegabytes())
			.setAccelerators(known.accelerators())
			.addAllLabels(known.labels())
			.setLeft(this.left)
			.build();
	}

	@Override
	public void helloReceived(LeaderHello hello) {
		EventLog.info(HostEvent.LEADER_CONNECTED, Field.of("leader", hello.getLeader()),
				Field.of("epoch", hello.getEpoch()));
		this.handledOrder = 0;
		report();
	}

	@Override
	public void connectionLost() {
		EventLog.info(HostEvent.LEADER_DISCONNECTED, Field.of("epoch", this.leader.epoch()));
	}

	@Override
	public void messageReceived(LeaderMessage message) {
		this.handledOrder = Math.max(this.handledOrder, message.getOrder());
		if (this.announcement != null && this.announcement.born() == message.getWorkerBorn()) {
			learnLease(message);
		}
		for (TraitsOfRun known : message.getTraitsList()) {
			this.traits.put(new RunKey(TaskNames.key(known.getTask()), known.getRun()), known.getTraits());
		}
		message.getStopsList().forEach(this::stopOrdered);
		message.getStartsList().forEach(this::startOrdered);
		if (this.traits.size() > HostAgentSettings.REMEMBERED_RUNS) {
			this.traits.keySet()
				.retainAll(this.running.stream().map(RunKey::of).collect(java.util.stream.Collectors.toSet()));
		}
	}

	/**
	 * Takes over what the leader says of leases and ends. Both belong to one life of the
	 * worker: in the next, its clock and the numbers of its ends start anew.
	 * @param message the message
	 */
	private void learnLease(LeaderMessage message) {
		if (message.getLeaseStamp() > 0) {
			long until = message.getLeaseStamp() + this.settings.leaseDuration().toMillis();
			this.leaseUntilMillis = Math.max(this.leaseUntilMillis, until);
		}
		this.recordedEnds = Math.max(this.recordedEnds, message.getRecordedEnds());
		this.ended.headMap(this.recordedEnds, true).clear();
	}

	private void startOrdered(StartOrder order) {
		RunKey key = new RunKey(TaskNames.key(order.getTask()), order.getRun());
		WorkerAnnouncement life = this.announcement;
		String obstacle = obstacle(order, life);
		if (life == null || !obstacle.isEmpty()) {
			refuse(key, obstacle);
			report();
			return;
		}
		this.traits.put(key, order.getTraits());
		PendingStart start = new PendingStart(
				RunningTask.newBuilder().setTask(order.getTask()).setRun(order.getRun()).setPace(FULL_PACE).build());
		this.pending.put(key, start);
		long usedFence = this.fence;
		this.worker.start(life, usedFence, new WorkerCalls.RunStart(key.task(), key.run(), order.getSpecification(),
				order.getCheckpoint(), order.getTicket()), this.leaseUntilMillis, (outcome) -> {
					learnFence(outcome, usedFence);
					startAnswered(life, key, start, outcome);
				});
	}

	private String obstacle(StartOrder order, @Nullable WorkerAnnouncement life) {
		if (life == null || this.left || !life.id().equals(order.getWorker()) || life.born() != order.getWorkerBorn()) {
			return "other worker";
		}
		if (life.draining()) {
			return "draining";
		}
		if (this.holdFailed) {
			// The worker may be in another life, and the lease is by the former one's
			// clock.
			return "the worker's life is uncertain";
		}
		boolean lease = this.leaseUntilMillis - this.workerClockMillis > HostAgentSettings.SHORTEST_LEASE.toMillis();
		return (lease && workerAnswers()) ? "" : "no lease";
	}

	private void startAnswered(WorkerAnnouncement life, RunKey key, PendingStart start, OrderOutcome outcome) {
		this.metrics.startAnswered(outcome.kind());
		EventLog.info(HostEvent.START_ANSWERED, Field.of("job", key.task().job()), Field.of("task", key.task()),
				Field.of("run", key.run()), Field.of("outcome", outcome.kind()), Field.of("reason", outcome.reason()));
		if (this.pending.get(key) != start) {
			return;
		}
		switch (outcome.kind()) {
			case OBEYED -> {
				start.settledNanos = this.clock.nanoTime();
			}
			case UNKNOWN -> {
				start.unresolved = true;
			}
			default -> {
				this.pending.remove(key);
				refuse(key, outcome.reason());
				report();
			}
		}
	}

	private void refuse(RunKey key, String reason) {
		this.refused.add(RefusedStart.newBuilder()
			.setTask(TaskNames.name(key.task()))
			.setRun(key.run())
			.setReason(reason)
			.build());
	}

	private void stopOrdered(StopOrder order) {
		stop(new RunKey(TaskNames.key(order.getTask()), order.getRun()));
	}

	/**
	 * Stops each run whose start was left open, until the worker has answered: from then
	 * on the start can no longer act.
	 */
	private void retryStops() {
		List.copyOf(this.pending.entrySet()).forEach((entry) -> {
			if (entry.getValue().unresolved) {
				stop(entry.getKey());
			}
		});
	}

	private void stop(RunKey key) {
		WorkerAnnouncement life = this.announcement;
		long now = this.clock.nanoTime();
		Long sent = this.stopsSentNanos.get(key);
		if (life == null || this.left || (sent != null && now - sent < HostAgentSettings.STOP_REPETITION.toNanos())) {
			return;
		}
		if (this.stopsSentNanos.size() > HostAgentSettings.REMEMBERED_RUNS) {
			this.stopsSentNanos.clear();
		}
		this.stopsSentNanos.put(key, now);
		EventLog.info(HostEvent.STOP_ORDERED, Field.of("job", key.task().job()), Field.of("task", key.task()),
				Field.of("run", key.run()));
		long usedFence = this.fence;
		this.worker.stop(life, usedFence, key.task(), key.run(), (outcome) -> {
			learnFence(outcome, usedFence);
			PendingStart start = this.pending.get(key);
			// A stop under a former token may have been obeyed by an earlier life, which
			// has taken that with it.
			if (start != null && outcome.kind() == OrderOutcome.Kind.OBEYED && usedFence == this.fence) {
				start.unresolved = false;
				start.settledNanos = this.clock.nanoTime();
			}
		});
	}

	private static final int FULL_PACE = 100;

	/**
	 * Identity of a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 */
	private record RunKey(TaskKey task, int run) {

		private static RunKey of(RunningTask running) {
			return new RunKey(TaskNames.key(running.getTask()), running.getRun());
		}

	}

	/**
	 * A start that the worker's lists do not show yet.
	 */
	private static final class PendingStart {

		private final RunningTask message;

		private boolean unresolved;

		private long settledNanos;

		private PendingStart(RunningTask message) {
			this.message = message;
		}

		/**
		 * Lets the run be stopped until the worker confirms that.
		 */
		private void reopen() {
			this.unresolved = true;
			this.settledNanos = 0;
		}

	}

}
