package org.crocuspost.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.standin.process.MemoryLink;
import org.crocuspost.standin.process.VirtualProcess;
import org.crocuspost.standin.worker.RunRecord;
import org.crocuspost.standin.worker.TaskBehavior;
import org.crocuspost.standin.worker.WorkerStandIn;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.TaskCommand;
import org.crocuspost.wire.TaskCommandReply;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TaskAgentTests {

	private static final Resources CAPACITY = new Resources(4000, 8000, 0);

	private static final Resources TASK_RESOURCES = new Resources(1000, 3000, 0);

	private static final long BUDGET_MILLISECONDS = 45_000;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final WorkerStandIn runtime = new WorkerStandIn("w", this.time,
			(start) -> new TaskBehavior(Duration.ofHours(1), TASK_RESOURCES, false));

	private final Conditions conditions = new Conditions();

	private final TaskAgent agent = new TaskAgent(
			new TaskAgentSettings("w", "rack", CAPACITY, TaskAgentSettings.Times.DEFAULT), this.conditions,
			this.runtime, this.time, this.time);

	private final Scheduler scheduler = new Scheduler();

	@BeforeEach
	void connect() {
		start(this.agent);
	}

	private void start(TaskAgent started) {
		VirtualProcess process = new VirtualProcess(this.time);
		new MemoryLink(this.time, Duration.ofMillis(1),
				new MemoryLink.End(process, identity(PeerIdentity.Role.AGENT), started),
				new MemoryLink.End(process, identity(PeerIdentity.Role.SCHEDULER), this.scheduler));
		started.start();
		this.time.advance(Duration.ofMillis(1500));
	}

	@Test
	void repeatedStartCommandStartsTheTaskOnce() {
		TaskCommand start = start("task/0", 1, this.scheduler.sequence);
		assertThat(send(start).getAccepted()).isTrue();
		assertThat(send(start).getAccepted()).isTrue();
		assertThat(this.runtime.history()).hasSize(1);
	}

	@Test
	void startCommandBasedOnAnOldReportIsRefused() {
		long oldSequence = this.scheduler.sequence;
		this.time.advance(Duration.ofSeconds(4));
		assertRefused(start("task/0", 1, oldSequence), ErrorCode.START_EXPIRED);
	}

	@Test
	void startIsRefusedWhileTheFailureDomainIsOutOfService() {
		this.conditions.domainOutOfService = true;
		assertRefused(start("task/0", 1, this.scheduler.sequence), ErrorCode.START_EXPIRED);
	}

	@Test
	void startIsRefusedWhenTheTaskDoesNotFitIntoTheCapacity() {
		this.conditions.reserve = new Resources(0, 6000, 0);
		assertRefused(start("task/0", 1, this.scheduler.sequence), ErrorCode.WORKER_FULL);
	}

	@Test
	void commandOfAFormerLeaseHolderIsRefused() {
		send(start("task/0", 1, this.scheduler.sequence));
		this.scheduler.epoch = 2;
		this.time.advance(Duration.ofSeconds(2));
		TaskCommandReply reply = send(stop("task/0", 1));
		assertThat(reply.getErrorCode()).isEqualTo(ErrorCode.FENCED.code());
		assertThat(this.runtime.history()).extracting(RunRecord::phase).containsExactly(Phase.RUNNING);
	}

	@Test
	void refusedAttemptNeverRuns() {
		this.conditions.domainOutOfService = true;
		send(start("task/0", 1, this.scheduler.sequence));
		this.conditions.domainOutOfService = false;
		this.time.advance(Duration.ofSeconds(1));
		send(start("task/0", 1, this.scheduler.sequence));
		assertThat(this.runtime.history()).isEmpty();
	}

	@Test
	void tasksAreStoppedWhenThePermissionToRenewLeasesEnds() {
		send(start("task/0", 1, this.scheduler.sequence));
		this.scheduler.unresponsive = true;
		Instant unresponsiveSince = this.time.instant();
		this.time.advance(Duration.ofMinutes(5));
		RunRecord run = this.runtime.history().get(0);
		assertThat(run.phase()).isEqualTo(Phase.STOPPED);
		Duration continuedRunTime = Duration.between(unresponsiveSince, run.ended());
		assertThat(continuedRunTime).isBetween(Duration.ofSeconds(43), Duration.ofSeconds(45));
	}

	@Test
	void newEpochRevokesThePermissionOfAFormerLeaseHolder() {
		this.scheduler.budgetMilliseconds = Duration.ofMinutes(15).toMillis();
		send(start("task/0", 1, this.scheduler.sequence));
		this.time.advance(Duration.ofSeconds(5));
		this.scheduler.epoch = 2;
		this.scheduler.budgetMilliseconds = BUDGET_MILLISECONDS;
		this.time.advance(Duration.ofSeconds(2));
		this.scheduler.unresponsive = true;
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.runtime.history()).extracting(RunRecord::phase).containsExactly(Phase.STOPPED);
	}

	/**
	 * The store is down, so the scheduler cannot renew its lease.
	 */
	@Test
	void leasesAreRenewedWithoutAValidLeaseOfAFollowedScheduler() {
		send(start("task/0", 1, this.scheduler.sequence));
		this.scheduler.leaseUnconfirmed = true;
		this.time.advance(Duration.ofMinutes(5));
		assertThat(this.runtime.history()).extracting(RunRecord::phase).containsExactly(Phase.RUNNING);
	}

	/**
	 * Guards against a restarted agent that follows a scheduler which was replaced by one
	 * that its former incarnation has acknowledged.
	 */
	@Test
	void restartedAgentFollowsNoSchedulerWithoutAValidLease() {
		send(start("task/0", 1, this.scheduler.sequence));
		this.agent.stop();
		this.scheduler.leaseUnconfirmed = true;
		start(new TaskAgent(new TaskAgentSettings("w", "rack", CAPACITY, TaskAgentSettings.Times.DEFAULT),
				this.conditions, this.runtime, this.time, this.time));
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.runtime.history()).extracting(RunRecord::phase).containsExactly(Phase.STOPPED);
	}

	@Test
	void evictedTaskIsStoppedAfterACheckpointOfItsProgress() {
		send(start("task/0", 1, this.scheduler.sequence));
		this.time.advance(Duration.ofSeconds(100));
		TaskCommandReply reply = send(
				stop("task/0", 1).toBuilder().setKind(TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP).build());
		RunRecord run = this.runtime.history().get(0);
		assertThat(run.phase()).isEqualTo(Phase.STOPPED);
		assertThat(run.progress()).isGreaterThan(Duration.ofSeconds(99));
		assertThat(reply.getAttempt().getCheckpoint()).isEqualTo("progress-" + run.progress().toMillis());
	}

	private void assertRefused(TaskCommand command, ErrorCode code) {
		TaskCommandReply reply = send(command);
		assertThat(reply.getAccepted()).isFalse();
		assertThat(reply.getErrorCode()).isEqualTo(code.code());
		assertThat(this.runtime.history()).isEmpty();
	}

	private TaskCommand start(String task, long attempt, long sequence) {
		return stop(task, attempt).toBuilder()
			.setKind(TaskCommand.Kind.KIND_START)
			.setJob("task")
			.setResources(WireResources.toWire(TASK_RESOURCES))
			.setReportSequence(sequence)
			.build();
	}

	private static TaskCommand stop(String task, long attempt) {
		return TaskCommand.newBuilder()
			.setKind(TaskCommand.Kind.KIND_STOP)
			.setTaskId(task)
			.setAttempt(attempt)
			.setEpoch(1)
			.build();
	}

	private TaskCommandReply send(TaskCommand command) {
		List<TaskCommandReply> replies = new ArrayList<>();
		this.scheduler.peer()
			.call(Frame.newBuilder().setTaskCommand(command).build(), Duration.ofSeconds(1))
			.thenAccept((answer) -> replies.add(answer.get().getTaskCommandReply()));
		this.time.advance(Duration.ofMillis(10));
		return replies.get(0);
	}

	private static PeerIdentity identity(PeerIdentity.Role role) {
		return new PeerIdentity(role, role.name(), role.name() + "-1", "north");
	}

	private static final class Scheduler implements PeerListener {

		private final List<Peer> peers = new ArrayList<>();

		private long epoch = 1;

		private long sequence;

		private long budgetMilliseconds = BUDGET_MILLISECONDS;

		private boolean unresponsive;

		private boolean leaseUnconfirmed;

		private Peer peer() {
			return this.peers.get(0);
		}

		@Override
		public void connected(Peer peer) {
			this.peers.add(peer);
		}

		@Override
		public void received(Peer peer, Frame frame) {
			WorkerReport report = frame.getWorkerReport();
			this.sequence = report.getSequence();
			if (this.unresponsive) {
				return;
			}
			peer.send(Frame.newBuilder()
				.setCorrelation(frame.getCorrelation())
				.setAnswer(true)
				.setWorkerReportReply(WorkerReportReply.newBuilder()
					.setSequence(report.getSequence())
					.setEpoch(this.epoch)
					.setRenewalBudgetMilliseconds(this.budgetMilliseconds)
					.setLeaseUnconfirmed(this.leaseUnconfirmed))
				.build());
		}

		@Override
		public void disconnected(Peer peer) {
			this.peers.remove(peer);
		}

	}

	private static final class Conditions implements WorkerConditions {

		private boolean domainOutOfService;

		private Resources reserve = Resources.NONE;

		@Override
		public boolean domainOutOfService() {
			return this.domainOutOfService;
		}

		@Override
		public long configurationVersion() {
			return 1;
		}

		@Override
		public Resources serviceReserve() {
			return this.reserve;
		}

		@Override
		public int servicePressure() {
			return 0;
		}

	}

}
