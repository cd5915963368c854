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
 * Manages the batch tasks of one worker for the agent. Sends reports to the scheduler,
 * executes its commands and renews task leases.
 *
 * <p>
 * Task leases are renewed without the store, but only while a scheduler permits it. Every
 * reply to a report contains a renewal budget: the scheduler waits that long without a
 * report before it may conclude that the tasks have stopped. If an agent renewed leases
 * without limit, a lost worker could not be distinguished from an unreachable one, and
 * its tasks could never run elsewhere. If an agent stopped renewing at the first missing
 * reply, all work would be lost when a scheduler restarts. A restarted agent does not
 * know which scheduler is the newest, so it first follows only one whose own lease is
 * valid.
 *
 * <p>
 * All work runs on the timer, one action at a time, because calls to the worker runtime
 * block.
 */
public final class TaskAgent implements PeerListener, RunningAttempts {

	/**
	 * Time between checkpoints when the permission to renew leases is about to end.
	 */
	private static final Duration FINAL_CHECKPOINT_INTERVAL = Duration.ofSeconds(5);

	private final TaskAgentSettings settings;

	private final WorkerConditions conditions;

	private final Timer timer;

	private final AttemptRegistry registry;

	private final TaskCommandExecutor commandExecutor;

	private final WorkerRuntime runtime;

	private final ReportContributor contributor;

	private final SentReports sentReports;

	private final RenewalGrant renewalGrant;

	private final EpochFence epochFence = new EpochFence();

	private final Set<Peer> schedulers = new LinkedHashSet<>();

	private volatile List<RunningAttempt> runningAttempts = new CopyOnWriteArrayList<>();

	private long acknowledgedEpoch;

	private @Nullable Cancellable heartbeat;

	/**
	 * Creates an agent without contributors to its reports. It is inactive until it is
	 * started.
	 * @param settings the settings
	 * @param conditions the conditions of the worker
	 * @param runtime the worker runtime
	 * @param clock the clock
	 * @param timer the timer that runs all work of the agent, one action at a time
	 */
	public TaskAgent(TaskAgentSettings settings, WorkerConditions conditions, WorkerRuntime runtime, Clock clock,
			Timer timer) {
		this(settings, conditions, runtime, ReportContributor.NONE, clock, timer);
	}

	/**
	 * Creates an agent. It is inactive until it is started.
	 * @param settings the settings
	 * @param conditions the conditions of the worker
	 * @param runtime the worker runtime
	 * @param contributor adds data to each report
	 * @param clock the clock
	 * @param timer the timer that runs all work of the agent, one action at a time
	 */
	public TaskAgent(TaskAgentSettings settings, WorkerConditions conditions, WorkerRuntime runtime,
			ReportContributor contributor, Clock clock, Timer timer) {
		this.settings = settings;
		this.conditions = conditions;
		this.timer = timer;
		this.runtime = runtime;
		this.contributor = contributor;
		this.registry = new AttemptRegistry(runtime, clock);
		this.sentReports = new SentReports(clock);
		this.renewalGrant = new RenewalGrant(clock);
		this.commandExecutor = new TaskCommandExecutor(settings, conditions, runtime, this.registry, this.sentReports,
				this.renewalGrant, this.epochFence);
	}

	/**
	 * Starts the heartbeat, which reads the state of the worker runtime, renews task
	 * leases and sends reports.
	 */
	public synchronized void start() {
		this.timer.schedule(Duration.ZERO, this::runHeartbeat);
		this.heartbeat = this.timer.repeat(this.settings.times().heartbeat(), this::runHeartbeat);
	}

	/**
	 * Stops all reports and lease renewals. Running tasks continue until their leases
	 * lapse or another agent takes them over.
	 */
	public synchronized void stop() {
		if (this.heartbeat != null) {
			this.heartbeat.cancel();
		}
	}

	@Override
	public void connected(Peer peer) {
		if (peer.identity().role() == Role.SCHEDULER) {
			this.timer.schedule(Duration.ZERO, () -> addScheduler(peer));
		}
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasTaskCommand()) {
			this.timer.schedule(Duration.ZERO, () -> executeCommand(peer, frame));
		}
	}

	@Override
	public void disconnected(Peer peer) {
		this.timer.schedule(Duration.ZERO, () -> removeScheduler(peer));
	}

	@Override
	public Seq<RunningAttempt> running() {
		return Vector.ofAll(this.runningAttempts);
	}

	@Override
	public void throttle(AttemptKey attempt, int percent) {
		this.timer.schedule(Duration.ZERO, () -> applyThrottle(attempt, percent));
	}

	@Override
	public void requestEviction(AttemptKey attempt) {
		this.timer.schedule(Duration.ZERO, () -> markForEviction(attempt));
	}

	private synchronized void addScheduler(Peer peer) {
		this.schedulers.add(peer);
		if (this.registry.isSynchronized()) {
			sendReport(peer);
		}
	}

	private synchronized void removeScheduler(Peer peer) {
		this.schedulers.remove(peer);
	}

	private synchronized void runHeartbeat() {
		this.registry.synchronizeWithRuntime();
		renewLeases();
		this.registry.checkpointDueAttempts(this.settings.times().checkpointInterval());
		requestEvictionIfMemoryExceeded();
		publishRunningAttempts();
		if (this.registry.isSynchronized()) {
			this.schedulers.forEach(this::sendReport);
		}
	}

	private void renewLeases() {
		Duration lease = this.settings.times().taskLease();
		Duration remaining = this.renewalGrant.remaining();
		if (!remaining.isZero()) {
			this.registry.renewLeases((remaining.compareTo(lease) < 0) ? remaining : lease);
		}
		if (remaining.compareTo(lease) < 0) {
			this.registry.checkpointDueAttempts(FINAL_CHECKPOINT_INTERVAL);
		}
	}

	private void requestEvictionIfMemoryExceeded() {
		Resources occupied = this.registry.occupiedResources().plus(this.conditions.serviceReserve());
		if (occupied.memoryMebibytes() <= this.settings.capacity().memoryMebibytes()) {
			return;
		}
		this.registry.largestMemoryExcess().ifPresent((attempt) -> {
			EventLog.warn(TaskAgentEvent.WORKER_MEMORY_EXCEEDED, Field.of("worker", this.settings.worker()),
					Field.of("task", attempt.key().taskId()));
			attempt.requestEviction();
		});
	}

	private synchronized void executeCommand(Peer peer, Frame frame) {
		TaskCommand command = frame.getTaskCommand();
		TaskCommandReply reply = this.commandExecutor.execute(command);
		if (!reply.getAccepted()) {
			EventLog.info(TaskAgentEvent.TASK_COMMAND_REFUSED, Field.of("task", command.getTaskId()),
					Field.of("attempt", command.getAttempt()), Field.of("error", reply.getErrorCode()));
		}
		publishRunningAttempts();
		peer.send(Frame.newBuilder()
			.setCorrelation(frame.getCorrelation())
			.setAnswer(true)
			.setTaskCommandReply(reply)
			.build());
	}

	private synchronized void applyThrottle(AttemptKey key, int percent) {
		this.registry.find(key)
			.filter(Attempt::running)
			.forEach((attempt) -> this.runtime.throttle(key, percent)
				.forEach((state) -> attempt.setThrottlePercent(percent)));
		publishRunningAttempts();
	}

	private synchronized void markForEviction(AttemptKey key) {
		this.registry.find(key).forEach(Attempt::requestEviction);
		publishRunningAttempts();
	}

	private void publishRunningAttempts() {
		this.runningAttempts = this.registry.running().stream().map(Attempt::toRunningAttempt).toList();
	}

	private void sendReport(Peer peer) {
		long sequence = this.sentReports.recordNext();
		Stopwatch sent = this.sentReports.findStopwatch(sequence).get();
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
		this.registry.all().forEach((attempt) -> report.addAttempts(attempt.toReport()));
		this.contributor.contribute(report);
		Frame frame = Frame.newBuilder().setWorkerReport(report).build();
		peer.call(frame, this.settings.times().callTimeout())
			.thenAccept((answer) -> this.timer.schedule(Duration.ZERO, () -> handleReply(sent, answer)));
	}

	/**
	 * Returns whether a newer scheduler may have replaced the sender, although this agent
	 * knows none. An earlier incarnation of the agent may have acknowledged that
	 * scheduler, which concludes from it that no permission of its predecessor is left.
	 * @param reply the reply of the sender
	 * @return false if the sender held a valid lease when it replied, or if this agent
	 * has followed a scheduler that did since its start
	 */
	private boolean mayBeReplaced(WorkerReportReply reply) {
		return this.acknowledgedEpoch == 0 && reply.getLeaseUnconfirmed();
	}

	private synchronized void handleReply(Stopwatch sent, Either<Failure, Frame> answer) {
		if (answer.isLeft() || !answer.get().hasWorkerReportReply()) {
			return;
		}
		WorkerReportReply reply = answer.get().getWorkerReportReply();
		if (mayBeReplaced(reply)) {
			EventLog.warn(TaskAgentEvent.UNCONFIRMED_SCHEDULER_IGNORED, Field.of("worker", this.settings.worker()),
					Field.of("epoch", reply.getEpoch()));
			return;
		}
		if (!this.epochFence.admit(reply.getEpoch())) {
			return;
		}
		if (reply.getEpoch() > this.acknowledgedEpoch) {
			this.renewalGrant.revoke();
		}
		this.acknowledgedEpoch = reply.getEpoch();
		this.contributor.replyReceived(reply);
		this.renewalGrant.extend(sent, Duration.ofMillis(reply.getRenewalBudgetMilliseconds()));
		for (AttemptIdentity recorded : reply.getRecordedList()) {
			this.registry.forget(new AttemptKey(recorded.getTaskId(), recorded.getAttempt()));
		}
	}

}
