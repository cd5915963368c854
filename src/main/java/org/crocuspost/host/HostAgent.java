package org.crocuspost.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import org.crocuspost.dispatch.Departure;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.hostlink.LeaderPort;
import org.crocuspost.hostlink.LeaderPortListener;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;
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
import org.jspecify.annotations.Nullable;

/**
 * Carries out the leader's orders on the worker of this host and reports the worker's
 * runs to the leader.
 *
 * <p>
 * A run continues only while the worker holds a lease. The lease is extended only by the
 * leader's answer to a report, and its duration counts from the worker's clock as it was
 * before the report. The leader can therefore compute a time after which an unreachable
 * worker runs nothing, regardless of the clock and the pauses of this process.
 *
 * <p>
 * The agent polls the worker by hold calls, which extend the lease and return the lists
 * of running and ended runs. The worker numbers the ends of runs, and lists each of them
 * until the agent acknowledges it. The period between two starts of a worker process is
 * an incarnation. It is identified by the worker's identity and its start time; the
 * worker's clock, its leases and the numbers of its ends are valid within one incarnation
 * only. Must be used on the event loop only.
 */
public final class HostAgent implements LeaderPortListener {

	private final HostAgentSettings settings;

	private final HostMetrics metrics;

	private final WorkerCalls worker;

	private final LeaderPort leader;

	private final Consumer<Departure> departureRecorder;

	private final Clock clock;

	private final Timer timer;

	private final String incarnation;

	private boolean started;

	private long startedNanos;

	private final WorkerFence fence;

	private @Nullable WorkerAnnouncement announcement;

	private boolean workerLeft;

	/**
	 * Whether an incarnation other than the announced one has answered. The wall clock
	 * may have been set back between the two, so the next announcement is accepted
	 * regardless of its start time.
	 */
	private boolean otherIncarnationAnswered;

	private long workerClockMillis;

	private ClockReading answeredAt;

	private boolean answered;

	private boolean holdFailed;

	private boolean unresponsive;

	private long leaseUntilMillis;

	private long recordedEnds;

	private long handledOrder;

	private long holdGeneration;

	private List<RunningTask> running = List.of();

	private final TreeMap<Long, EndedTask> ended = new TreeMap<>();

	private boolean endsFollow;

	private final Map<RunKey, PendingStart> pending = new LinkedHashMap<>();

	private final List<RefusedStart> refused = new ArrayList<>();

	private final Map<RunKey, TaskTraits> traits = new HashMap<>();

	private final Map<RunKey, Integer> paces = new HashMap<>();

	private final Map<RunKey, Long> stopsSentNanos = new HashMap<>();

	private PaceController paceController = new PaceController(PaceSettings.DEFAULT);

	private final ReportSender reports;

	private final CapacityGuard capacityGuard;

	/**
	 * Creates an agent. It is idle until {@link #start()} is called.
	 * @param settings the settings
	 * @param metrics the metrics of the agent
	 * @param worker calls the worker
	 * @param leaderPort creates the port that accepts the connection of the leader
	 * @param departureRecorder records the departure of a worker for later leaders
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public HostAgent(HostAgentSettings settings, HostMetrics metrics, WorkerCalls worker,
			Function<LeaderPortListener, LeaderPort> leaderPort, Consumer<Departure> departureRecorder, Clock clock,
			Timer timer) {
		this.settings = settings;
		this.metrics = metrics;
		this.worker = worker;
		this.departureRecorder = departureRecorder;
		this.clock = clock;
		this.timer = timer;
		this.answeredAt = ClockReading.of(clock);
		this.fence = new WorkerFence(clock);
		this.incarnation = settings.host() + "-" + this.fence.token();
		this.leader = leaderPort.apply(this);
		this.capacityGuard = new CapacityGuard(clock, settings.announcementInterval());
		this.reports = new ReportSender(this.leader, this::takeReport, clock, timer);
	}

	/**
	 * Starts the periodic check, which sends reports while the worker does not answer and
	 * stops the runs whose start has an unknown outcome until the worker confirms the
	 * stop. Must be called after the leader port is bound: an earlier incarnation of the
	 * agent on this host, which held the port, has ended by then. The epoch must be set
	 * at the leader port before, if it is known.
	 */
	public void start() {
		this.started = true;
		this.fence.start(this.leader.epoch());
		this.startedNanos = this.clock.nanoTime();
		this.timer.repeat(HostAgentSettings.CHECK_INTERVAL, this::tick);
	}

	/**
	 * Handles an announcement of the worker. Announcements that are out of date are
	 * ignored.
	 * @param received the announcement
	 */
	public void workerAnnounced(WorkerAnnouncement received) {
		WorkerAnnouncement current = this.announcement;
		if (current != null && current.sameIncarnation(received) && received.sequence() < current.sequence()) {
			return;
		}
		if (current != null && !this.otherIncarnationAnswered && !current.sameIncarnation(received)
				&& received.born() < current.born()) {
			EventLog.info(HostEvent.ANNOUNCEMENT_IGNORED, Field.of("worker", received.id()),
					Field.of("born", received.born()),
					Field.of("reason", "a later incarnation has already been announced"));
			return;
		}
		boolean newIncarnation = current == null || !current.sameIncarnation(received);
		if (newIncarnation) {
			this.otherIncarnationAnswered = false;
			beginIncarnation(received);
		}
		if (received.draining() && (newIncarnation || !current.draining())) {
			EventLog.info(HostEvent.WORKER_DRAINING, Field.of("worker", received.id()),
					Field.of("remainingMillis", received.remainingMillis()));
		}
		this.announcement = received;
		this.capacityGuard.announced(received);
		if (newIncarnation) {
			hold(++this.holdGeneration, Duration.ZERO);
			return;
		}
		if (received.draining() != current.draining() || !received.sameCapacity(current)) {
			this.reports.request();
		}
	}

	private void beginIncarnation(WorkerAnnouncement received) {
		EventLog.info(HostEvent.WORKER_SEEN, Field.of("worker", received.id()), Field.of("born", received.born()),
				Field.of("service", received.service()), Field.of("milliCores", received.milliCores()));
		if (this.announcement != null && !this.announcement.id().equals(received.id())) {
			// A worker refuses orders for another identity.
			this.pending.clear();
		}
		clearIncarnationState();
	}

	/**
	 * Discards the state that belongs to one incarnation of the worker. Until the next
	 * incarnation is announced, nothing is started, and reports do not name the worker.
	 */
	private void clearIncarnationState() {
		this.fence.beginWorkerIncarnation();
		this.workerLeft = false;
		this.workerClockMillis = 0;
		this.leaseUntilMillis = 0;
		this.recordedEnds = 0;
		this.answered = false;
		this.running = List.of();
		this.endsFollow = false;
		this.ended.clear();
		// A start that has not appeared in the lists may have reached the new
		// incarnation.
		this.pending.values().forEach(PendingStart::markUnresolved);
		this.paces.clear();
		this.stopsSentNanos.clear();
		this.paceController = new PaceController(PaceSettings.DEFAULT);
	}

	/**
	 * Handles a message by which a worker announces its departure. The message may be
	 * delayed and refer to an earlier incarnation of the same identity, so the worker is
	 * treated as departed only once it no longer answers.
	 * @param id the identity of the worker
	 */
	public void departureAnnounced(String id) {
		WorkerAnnouncement current = this.announcement;
		if (current == null || !current.id().equals(id)) {
			return;
		}
		EventLog.info(HostEvent.WORKER_DEPARTING, Field.of("worker", id), Field.of("born", current.born()));
		awaitDeparture(current, this.clock.nanoTime());
	}

	private void awaitDeparture(WorkerAnnouncement departing, long announcedNanos) {
		this.timer.schedule(HostAgentSettings.DEPARTURE_CHECK_INTERVAL, () -> {
			WorkerAnnouncement current = this.announcement;
			if (current == null || !current.sameIncarnation(departing) || this.workerLeft) {
				return;
			}
			long now = this.clock.nanoTime();
			boolean stillAnswers = this.answered
					&& now - this.answeredAt.nanos() < HostAgentSettings.DEPARTURE_TIMEOUT.toNanos();
			if (!stillAnswers) {
				recordDeparture(departing);
			}
			else if (now - announcedNanos < HostAgentSettings.DEPARTURE_VALIDITY.toNanos()) {
				awaitDeparture(departing, announcedNanos);
			}
			else {
				EventLog.info(HostEvent.ANNOUNCEMENT_IGNORED, Field.of("worker", departing.id()),
						Field.of("reason", "the worker still answers after it announced its departure"));
			}
		});
	}

	private void recordDeparture(WorkerAnnouncement departing) {
		EventLog.info(HostEvent.WORKER_LEFT, Field.of("worker", departing.id()), Field.of("born", departing.born()),
				Field.of("running", this.running.size()));
		this.workerLeft = true;
		this.running = List.of();
		this.pending.clear();
		this.departureRecorder.accept(
				new Departure(departing.id(), departing.born(), this.clock.instant().toEpochMilli(), this.incarnation));
		this.reports.request();
	}

	/**
	 * Calls the worker, and again after each answer until another generation of calls is
	 * begun.
	 * @param generation the generation that the call belongs to
	 * @param maximumWait how long the worker may wait for an end before it answers
	 */
	private void hold(long generation, Duration maximumWait) {
		WorkerAnnouncement target = this.announcement;
		if (target == null || generation != this.holdGeneration || this.workerLeft) {
			return;
		}
		long askedNanos = this.clock.nanoTime();
		// After a failed call the worker may be in another incarnation, whose ends have
		// the same numbers, so nothing is acknowledged and no lease is extended until the
		// worker has returned its start time.
		boolean incarnationConfirmed = this.answered && !this.holdFailed;
		Duration wait = incarnationConfirmed ? maximumWait : Duration.ZERO;
		long acknowledged = incarnationConfirmed ? this.recordedEnds : 0;
		long lease = incarnationConfirmed ? this.leaseUntilMillis : 0;
		long usedToken = this.fence.token();
		this.worker.hold(target, usedToken, acknowledged, lease, wait, (answer) -> {
			if (generation == this.holdGeneration) {
				// Scheduled first: without further calls all runs would end with their
				// lease, whatever goes wrong with one answer.
				Duration pause = answer.isRight() ? HostAgentSettings.HOLD_PAUSE : HostAgentSettings.HOLD_RETRY_PAUSE;
				this.timer.schedule(pause, () -> hold(generation, HostAgentSettings.HOLD_MAXIMUM_WAIT));
				if (answer.isLeft()) {
					raiseTokenIfRejected(answer.getLeft(), usedToken);
				}
				handleHoldAnswer(target, answer, usedToken, askedNanos);
			}
		});
	}

	private void handleHoldAnswer(WorkerAnnouncement target, Either<OrderOutcome, WorkerState> answer, long usedToken,
			long askedNanos) {
		this.metrics.recordLeaseRenewal(answer.isRight(), this.clock.nanoTime() - askedNanos);
		this.holdFailed = answer.isLeft();
		if (answer.isLeft()) {
			this.otherIncarnationAnswered |= answer.getLeft().kind() == OrderOutcome.Kind.OTHER_LIFE;
			return;
		}
		WorkerState state = answer.get();
		if (state.born() != 0 && state.born() != target.born()) {
			this.otherIncarnationAnswered = true;
			if (this.answered) {
				EventLog.info(HostEvent.WORKER_RESTARTED, Field.of("worker", target.id()),
						Field.of("former", target.born()), Field.of("born", state.born()));
				clearIncarnationState();
			}
			return;
		}
		if (!this.answered) {
			EventLog.info(HostEvent.WORKER_LISTED, Field.of("worker", target.id()), Field.of("fence", usedToken),
					Field.of("running", state.running().size()), Field.of("ended", state.ended().size()));
		}
		this.answered = true;
		this.fence.accepted(target.id(), usedToken);
		this.answeredAt = ClockReading.of(this.clock);
		this.workerClockMillis = Math.max(this.workerClockMillis, state.clockMillis());
		this.running = state.running();
		this.endsFollow = state.ended().size() >= HostAgentSettings.MAXIMUM_LISTED_ENDS;
		state.ended().forEach((end) -> {
			if (end.getNumber() > this.recordedEnds) {
				this.ended.put(end.getNumber(), end);
			}
		});
		removeSettledStarts(askedNanos);
		adjustPaces(target);
		this.reports.request();
	}

	/**
	 * Removes pending starts whose outcome is visible in the worker's lists.
	 * @param askedNanos the monotonic time of the call that returned the lists, in
	 * nanoseconds
	 */
	private void removeSettledStarts(long askedNanos) {
		for (RunningTask run : this.running) {
			this.pending.remove(RunKey.of(run));
		}
		for (EndedTask end : this.ended.values()) {
			this.pending.remove(new RunKey(TaskNames.key(end.getTask()), end.getRun()));
		}
		this.pending.values().removeIf((start) -> start.settledNanos != 0 && start.settledNanos < askedNanos);
	}

	private void raiseTokenIfRejected(OrderOutcome outcome, long usedToken) {
		if (outcome.kind() == OrderOutcome.Kind.FENCED) {
			this.fence.rejected(usedToken, leaseBasisAgeMillis() > HostAgentSettings.FENCE_OVERRIDE_DELAY.toMillis());
		}
	}

	private void adjustPaces(WorkerAnnouncement target) {
		List<PaceController.ObservedRun> observed = new ArrayList<>();
		for (RunningTask run : this.running) {
			RunKey key = RunKey.of(run);
			TaskTraits runTraits = this.traits.get(key);
			if (runTraits != null) {
				observed.add(new PaceController.ObservedRun(run, runTraits, this.paces.getOrDefault(key, FULL_PACE)));
			}
		}
		for (PaceController.Change change : this.paceController.update(observed, this.clock.nanoTime())) {
			RunKey key = RunKey.of(change.run().running());
			int former = change.run().pace();
			this.paces.put(key, change.pace());
			EventLog.info(HostEvent.PACE_CHANGED, Field.of("task", key.task()), Field.of("run", key.run()),
					Field.of("pace", change.pace()), Field.of("former", former));
			this.worker.pace(target, this.fence.token(), key.task(), key.run(), change.pace(), (outcome) -> {
				if (outcome.kind() != OrderOutcome.Kind.OBEYED) {
					// The next update orders the pace again.
					this.paces.put(key, former);
				}
			});
		}
	}

	private void tick() {
		boolean responsive = workerResponsive();
		if (this.announcement != null && responsive == this.unresponsive) {
			this.unresponsive = !responsive;
			EventLog.info(responsive ? HostEvent.WORKER_REGAINED : HostEvent.WORKER_SILENT,
					Field.of("worker", this.announcement.id()));
		}
		if (!responsive) {
			this.reports.request();
		}
		retryStops();
	}

	private boolean workerResponsive() {
		return this.answered && !this.workerLeft
				&& this.answeredAt.age(this.clock).compareTo(HostAgentSettings.WORKER_TIMEOUT) < 0;
	}

	/**
	 * Returns the age of the moment from which the lease of any run on the worker lasts
	 * for one lease duration at most: the latest lists, since a lease counts from the
	 * worker's clock of that time or an earlier one, or the start of this agent, since
	 * the lists of its earlier incarnations are older. Later events without lists extend
	 * no lease.
	 *
	 * <p>
	 * Only the monotonic clock counts. The longer time of {@link ClockReading} would be
	 * too long if the wall clock was set forward, and the leader would start a task again
	 * while its run goes on.
	 * @return the age in milliseconds, at least 1; 0 if the agent is not started
	 */
	private long leaseBasisAgeMillis() {
		if (!this.started) {
			return 0;
		}
		long now = this.clock.nanoTime();
		long age = Math.min(now - this.startedNanos, now - this.answeredAt.nanos());
		return Math.max(1, TimeUnit.NANOSECONDS.toMillis(age));
	}

	private HostReport takeReport() {
		HostReport report = composeReport();
		this.refused.clear();
		return report;
	}

	HostReport composeReport() {
		HostReport.Builder report = HostReport.newBuilder()
			.setHost(this.settings.host())
			.setLife(this.incarnation)
			.setLeaseStamp(this.workerClockMillis)
			.setLeaseBasisAgeMillis(leaseBasisAgeMillis())
			.setWorkerAnswers(workerResponsive() && !this.holdFailed)
			.setHandledOrder(this.handledOrder)
			.setEndsFollow(this.endsFollow)
			.setListsAgeMillis(this.answered ? this.answeredAt.age(this.clock).toMillis() : 0)
			.setFencedEpoch(this.fence.fencedEpoch());
		// Empty lists would mean that nothing runs on the worker, so the report does not
		// name the worker until its lists have been read.
		if (this.announcement != null && ((this.answered && this.fence.rejectsLateStarts()) || this.workerLeft)) {
			report.setWorker(this.capacityGuard.describe(this.announcement.describe(this.workerLeft)));
		}
		for (RunningTask run : this.running) {
			report.addRunning(run.toBuilder().setPace(this.paces.getOrDefault(RunKey.of(run), FULL_PACE)));
		}
		this.pending.values().forEach((start) -> report.addPending(start.run));
		report.addAllEnded(this.ended.values());
		return report.addAllRefused(this.refused).build();
	}

	@Override
	public void helloReceived(LeaderHello hello) {
		EventLog.info(HostEvent.LEADER_CONNECTED, Field.of("leader", hello.getLeader()),
				Field.of("epoch", hello.getEpoch()));
		if (this.fence.followLeader(hello.getEpoch())) {
			// Until the worker has seen the new token, former leaders may extend leases
			// through a restarted agent, and the leader has to wait for them.
			hold(++this.holdGeneration, Duration.ZERO);
		}
		this.handledOrder = 0;
		this.reports.connected();
	}

	@Override
	public void connectionFailed(String reason) {
		EventLog.warn(HostEvent.CONNECTION_FAILED, Field.of("epoch", this.leader.epoch()), Field.of("reason", reason));
	}

	@Override
	public void connectionLost() {
		EventLog.info(HostEvent.LEADER_DISCONNECTED, Field.of("epoch", this.leader.epoch()));
	}

	@Override
	public void messageReceived(LeaderMessage message) {
		this.handledOrder = Math.max(this.handledOrder, message.getOrder());
		this.reports.answered(message.getAnsweredReport());
		if (this.announcement != null && this.announcement.born() == message.getWorkerBorn()) {
			updateLease(message);
		}
		for (TraitsOfRun entry : message.getTraitsList()) {
			this.traits.put(new RunKey(TaskNames.key(entry.getTask()), entry.getRun()), entry.getTraits());
		}
		message.getStopsList().forEach(this::handleStopOrder);
		message.getStartsList().forEach(this::handleStartOrder);
		if (this.traits.size() > HostAgentSettings.MAXIMUM_REMEMBERED_RUNS) {
			this.traits.keySet().retainAll(presentRuns());
		}
		this.reports.sendRequested();
	}

	/**
	 * Extends the lease and removes the ends that the leader has recorded. Both are valid
	 * for one incarnation of the worker only: in the next, the worker's clock and the
	 * numbers of its ends start again.
	 * @param message the message of the leader
	 */
	private void updateLease(LeaderMessage message) {
		if (message.getLeaseStamp() > 0) {
			long until = message.getLeaseStamp() + this.settings.leaseDuration().toMillis();
			this.leaseUntilMillis = Math.max(this.leaseUntilMillis, until);
		}
		this.recordedEnds = Math.max(this.recordedEnds, message.getRecordedEnds());
		this.ended.headMap(this.recordedEnds, true).clear();
	}

	private void handleStartOrder(StartOrder order) {
		RunKey key = RunKey.of(order);
		WorkerAnnouncement target = this.announcement;
		String refusalReason = refusalReason(order, target);
		if (target == null || !refusalReason.isEmpty()) {
			refuse(key, refusalReason);
			this.reports.request();
			return;
		}
		this.traits.put(key, order.getTraits());
		this.capacityGuard.started(order);
		PendingStart start = new PendingStart(
				RunningTask.newBuilder().setTask(order.getTask()).setRun(order.getRun()).setPace(FULL_PACE).build());
		this.pending.put(key, start);
		long usedToken = this.fence.token();
		this.worker.start(target, usedToken, new WorkerCalls.RunStart(key.task(), key.run(), order.getSpecification(),
				order.getCheckpoint(), order.getTicket()), this.leaseUntilMillis, (outcome) -> {
					raiseTokenIfRejected(outcome, usedToken);
					handleStartOutcome(target, key, start, outcome);
				});
	}

	private String refusalReason(StartOrder order, @Nullable WorkerAnnouncement target) {
		if (target == null || this.workerLeft || !target.id().equals(order.getWorker())
				|| target.born() != order.getWorkerBorn()) {
			return "other worker";
		}
		if (target.draining()) {
			return "draining";
		}
		if (this.holdFailed) {
			// The worker may be in another incarnation, and the lease is based on the
			// clock of the former one.
			return "the worker's life is uncertain";
		}
		boolean lease = this.leaseUntilMillis - this.workerClockMillis > HostAgentSettings.MINIMUM_LEASE.toMillis();
		return (lease && workerResponsive()) ? this.capacityGuard.refusalReason(order, target, presentRuns())
				: "no lease";
	}

	private Set<RunKey> presentRuns() {
		Set<RunKey> present = new HashSet<>(this.pending.keySet());
		this.running.forEach((run) -> present.add(RunKey.of(run)));
		return present;
	}

	private void handleStartOutcome(WorkerAnnouncement target, RunKey key, PendingStart start, OrderOutcome outcome) {
		this.metrics.countStart(outcome.kind());
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
				this.reports.request();
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

	private void handleStopOrder(StopOrder order) {
		stop(new RunKey(TaskNames.key(order.getTask()), order.getRun()), order.getReason());
	}

	/**
	 * Stops each run whose start has an unknown outcome, and repeats that until the
	 * worker confirms it: from then on the start can no longer take effect.
	 */
	private void retryStops() {
		List.copyOf(this.pending.entrySet()).forEach((entry) -> {
			if (entry.getValue().unresolved) {
				stop(entry.getKey(), "the outcome of its start is unknown");
			}
		});
	}

	private void stop(RunKey key, String reason) {
		WorkerAnnouncement target = this.announcement;
		long now = this.clock.nanoTime();
		Long sentNanos = this.stopsSentNanos.get(key);
		if (target == null || this.workerLeft
				|| (sentNanos != null && now - sentNanos < HostAgentSettings.STOP_RETRY_INTERVAL.toNanos())) {
			return;
		}
		if (this.stopsSentNanos.size() > HostAgentSettings.MAXIMUM_REMEMBERED_RUNS) {
			this.stopsSentNanos.clear();
		}
		this.stopsSentNanos.put(key, now);
		EventLog.info(HostEvent.STOP_ORDERED, Field.of("job", key.task().job()), Field.of("task", key.task()),
				Field.of("run", key.run()), Field.of("reason", reason));
		long usedToken = this.fence.token();
		this.worker.stop(target, usedToken, key.task(), key.run(), (outcome) -> {
			raiseTokenIfRejected(outcome, usedToken);
			PendingStart start = this.pending.get(key);
			// A stop with a former fencing token may have been carried out by an earlier
			// incarnation, whose state is lost. Such a stop does not prevent the start in
			// the current incarnation.
			if (start != null && outcome.kind() == OrderOutcome.Kind.OBEYED && usedToken == this.fence.token()) {
				start.unresolved = false;
				start.settledNanos = this.clock.nanoTime();
			}
		});
	}

	private static final int FULL_PACE = 100;

	/**
	 * Holds a start order whose run does not appear in the worker's lists yet.
	 */
	private static final class PendingStart {

		private final RunningTask run;

		private boolean unresolved;

		private long settledNanos;

		private PendingStart(RunningTask run) {
			this.run = run;
		}

		/**
		 * Marks the outcome as unknown, so that the run is stopped until the worker
		 * confirms the stop.
		 */
		private void markUnresolved() {
			this.unresolved = true;
			this.settledNanos = 0;
		}

	}

}
