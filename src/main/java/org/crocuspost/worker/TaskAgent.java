package org.crocuspost.worker;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity.Role;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.AttemptIdentity;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.TaskCommand;
import org.crocuspost.wire.TaskCommandReply;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;
import org.jspecify.annotations.Nullable;

/**
 * Agent side of batch work on one worker. Reports to the scheduler, obeys its commands
 * and renews task leases.
 *
 * <p>
 * Task leases are renewed without the store, but only while a scheduler permits it. Every
 * answer to a report carries a budget: the scheduler waits that long before it may
 * conclude from silence that the tasks have stopped. An agent that renewed for ever would
 * make a lost worker indistinguishable from an unreachable one, and its tasks could never
 * run elsewhere; an agent that stopped at the first silence would lose all work when a
 * scheduler restarts.
 *
 * <p>
 * All work is done on the timer, one action at a time, because calls to the worker
 * runtime block.
 */
public final class TaskAgent implements PeerListener, RunningAttempts {

	/**
	 * Time between checkpoints once the permission to renew is about to end.
	 */
	private static final Duration LAST_CHECKPOINT_INTERVAL = Duration.ofSeconds(5);

	private final TaskAgentSettings settings;

	private final WorkerConditions conditions;

	private final Timer timer;

	private final AttemptRegistry registry;

	private final TaskCommands commands;

	private final WorkerRuntime runtime;

	private final ReportContributor contributor;

	private final ReportLog reports;

	private final RenewalGrant grant;

	private final EpochFence fence = new EpochFence();

	private final Set<Peer> schedulers = new LinkedHashSet<>();

	private volatile List<RunningAttempt> running = new CopyOnWriteArrayList<>();

	private long acknowledgedEpoch;

	private @Nullable Cancellable heartbeat;

	/**
	 * Creates the agent without contributors to its reports. It does nothing until it is
	 * started.
	 * @param settings the settings
	 * @param conditions what the agent knows about its worker
	 * @param runtime the worker runtime
	 * @param clock the clock
	 * @param timer runs all work of the agent, one action at a time
	 */
	public TaskAgent(TaskAgentSettings settings, WorkerConditions conditions, WorkerRuntime runtime, Clock clock,
			Timer timer) {
		this(settings, conditions, runtime, ReportContributor.NONE, clock, timer);
	}

	/**
	 * Creates the agent. It does nothing until it is started.
	 * @param settings the settings
	 * @param conditions what the agent knows about its worker
	 * @param runtime the worker runtime
	 * @param contributor adds to each report
	 * @param clock the clock
	 * @param timer runs all work of the agent, one action at a time
	 */
	public TaskAgent(TaskAgentSettings settings, WorkerConditions conditions, WorkerRuntime runtime,
			ReportContributor contributor, Clock clock, Timer timer) {
		this.settings = settings;
		this.conditions = conditions;
		this.timer = timer;
		this.runtime = runtime;
		this.contributor = contributor;
		this.registry = new AttemptRegistry(runtime, clock);
		this.reports = new ReportLog(clock);
		this.grant = new RenewalGrant(clock);
		this.commands = new TaskCommands(settings, conditions, runtime, this.registry, this.reports, this.grant,
				this.fence);
	}

	/**
	 * Starts to follow the worker runtime and to send reports.
	 */
	public synchronized void start() {
		this.timer.schedule(Duration.ZERO, this::beat);
		this.heartbeat = this.timer.repeat(this.settings.times().heartbeat(), this::beat);
	}

	/**
	 * Ends all reports and renewals. Running tasks run on until their leases lapse or
	 * another agent adopts them.
	 */
	public synchronized void stop() {
		if (this.heartbeat != null) {
			this.heartbeat.cancel();
		}
	}

	@Override
	public void connected(Peer peer) {
		if (peer.identity().role() == Role.SCHEDULER) {
			this.timer.schedule(Duration.ZERO, () -> greet(peer));
		}
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasTaskCommand()) {
			this.timer.schedule(Duration.ZERO, () -> obey(peer, frame));
		}
	}

	@Override
	public void disconnected(Peer peer) {
		this.timer.schedule(Duration.ZERO, () -> leave(peer));
	}

	@Override
	public Seq<RunningAttempt> running() {
		return Vector.ofAll(this.running);
	}

	@Override
	public void throttle(AttemptKey attempt, int percent) {
		this.timer.schedule(Duration.ZERO, () -> applyThrottle(attempt, percent));
	}

	@Override
	public void requestEviction(AttemptKey attempt) {
		this.timer.schedule(Duration.ZERO, () -> flagEviction(attempt));
	}

	private synchronized void greet(Peer peer) {
		this.schedulers.add(peer);
		if (this.registry.complete()) {
			report(peer);
		}
	}

	private synchronized void leave(Peer peer) {
		this.schedulers.remove(peer);
	}

	private synchronized void beat() {
		this.registry.follow();
		renewLeases();
		this.registry.checkpointDue(this.settings.times().checkpointInterval());
		requestEvictionIfOverfull();
		publishRunning();
		if (this.registry.complete()) {
			this.schedulers.forEach(this::report);
		}
	}

	private void renewLeases() {
		Duration lease = this.settings.times().taskLease();
		Duration remaining = this.grant.remaining();
		if (!remaining.isZero()) {
			this.registry.renew((remaining.compareTo(lease) < 0) ? remaining : lease);
		}
		if (remaining.compareTo(lease) < 0) {
			this.registry.checkpointDue(LAST_CHECKPOINT_INTERVAL);
		}
	}

	private void requestEvictionIfOverfull() {
		Resources held = this.registry.held().plus(this.conditions.serviceReserve());
		if (held.memoryMebibytes() <= this.settings.capacity().memoryMebibytes()) {
			return;
		}
		this.registry.largestMemoryExcess().ifPresent((attempt) -> {
			EventLog.warn(TaskAgentEvent.WORKER_MEMORY_EXCEEDED, Field.of("worker", this.settings.worker()),
					Field.of("task", attempt.key().taskId()));
			attempt.requestEviction();
		});
	}

	private synchronized void obey(Peer peer, Frame frame) {
		TaskCommand command = frame.getTaskCommand();
		TaskCommandReply reply = this.commands.obey(command);
		if (!reply.getAccepted()) {
			EventLog.info(TaskAgentEvent.TASK_COMMAND_REFUSED, Field.of("task", command.getTaskId()),
					Field.of("attempt", command.getAttempt()), Field.of("error", reply.getErrorCode()));
		}
		publishRunning();
		peer.send(Frame.newBuilder()
			.setCorrelation(frame.getCorrelation())
			.setAnswer(true)
			.setTaskCommandReply(reply)
			.build());
	}

	private synchronized void applyThrottle(AttemptKey key, int percent) {
		this.registry.find(key)
			.filter(Attempt::running)
			.forEach((attempt) -> this.runtime.throttle(key, percent).forEach((state) -> attempt.throttled(percent)));
		publishRunning();
	}

	private synchronized void flagEviction(AttemptKey key) {
		this.registry.find(key).forEach(Attempt::requestEviction);
		publishRunning();
	}

	private void publishRunning() {
		this.running = this.registry.running().stream().map(Attempt::view).toList();
	}

	private void report(Peer peer) {
		long sequence = this.reports.next();
		Stopwatch sent = this.reports.sent(sequence).get();
		WorkerReport.Builder report = WorkerReport.newBuilder()
			.setSequence(sequence)
			.setWorker(this.settings.worker())
			.setRack(this.settings.rack())
			.setCapacity(WireResources.toWire(this.settings.capacity()))
			.setReserved(WireResources.toWire(this.conditions.serviceReserve()))
			.setConfigurationVersion(this.conditions.configurationVersion())
			.setDomainOut(this.conditions.domainOutOfService())
			.setServicePressure(this.conditions.servicePressure())
			.setEpoch(this.acknowledgedEpoch);
		this.registry.all().forEach((attempt) -> report.addAttempts(attempt.report()));
		this.contributor.contribute(report);
		Frame frame = Frame.newBuilder().setWorkerReport(report).build();
		peer.call(frame, this.settings.times().callTimeout())
			.thenAccept((answer) -> this.timer.schedule(Duration.ZERO, () -> answered(sent, answer)));
	}

	private synchronized void answered(Stopwatch sent, Either<Failure, Frame> answer) {
		if (answer.isLeft() || !answer.get().hasWorkerReportReply()) {
			return;
		}
		WorkerReportReply reply = answer.get().getWorkerReportReply();
		if (!this.fence.admits(reply.getEpoch())) {
			return;
		}
		if (reply.getEpoch() > this.acknowledgedEpoch) {
			this.grant.revoke();
		}
		this.acknowledgedEpoch = reply.getEpoch();
		this.contributor.replyReceived(reply);
		this.grant.extend(sent, Duration.ofMillis(reply.getRenewalBudgetMilliseconds()));
		for (AttemptIdentity recorded : reply.getRecordedList()) {
			this.registry.forget(new AttemptKey(recorded.getTaskId(), recorded.getAttempt()));
		}
	}

}
