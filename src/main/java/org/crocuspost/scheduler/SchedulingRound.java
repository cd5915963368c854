package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.shard.ShardToken;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;
import org.crocuspost.task.TaskTransition;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.TaskCommand;

/**
 * One round of the scheduler after the other: renew leases, reconcile rows with reports,
 * claim waiting tasks. Each failure domain gets at most a few transactions per round,
 * each with all its changes, because the store bounds transactions per second and not
 * rows.
 *
 * <p>
 * If the answer to a transaction is lost, the domain is set aside. The next round renews
 * its lease, after which the lost transaction can no longer take effect, and then reads
 * the rows again. A claim that turns out to be durable but whose start command was never
 * sent is stopped at the worker and tried again.
 */
final class SchedulingRound {

	private final SchedulingSettings settings;

	private final PeerIdentity self;

	private final TableService table;

	private final ConfigurationSource source;

	private final WorkerDirectory workers;

	private final ShardLeases leases;

	private final RenewalPermissions permissions;

	private final TaskTable tasks;

	private final ReportAnswers answers;

	private final CommandSender commands;

	private final Knowledge knowledge;

	private final DomainRamp ramp;

	private final PendingTasks pending;

	private final TaskReconciler reconciler;

	private final ClaimPlanner planner;

	private final Clock clock;

	private final WaitLog waitLog;

	private final Map<String, Stopwatch> foreignSince = new HashMap<>();

	private final Set<String> unknown = new HashSet<>();

	private Stopwatch lastScan;

	private volatile Map<String, JobWait> waits = Map.of();

	SchedulingRound(SchedulingSettings settings, PeerIdentity self, TableService table, ConfigurationSource source,
			PlacementPolicy policy, Clock clock, WorkerDirectory workers, ShardLeases leases,
			RenewalPermissions permissions, TaskTable tasks, ReportAnswers answers) {
		this.settings = settings;
		this.self = self;
		this.table = table;
		this.source = source;
		this.clock = clock;
		this.workers = workers;
		this.leases = leases;
		this.permissions = permissions;
		this.tasks = tasks;
		this.answers = answers;
		this.commands = new CommandSender(clock, settings, workers);
		this.knowledge = Knowledge.none(clock, settings.learnSizes());
		this.ramp = new DomainRamp(clock);
		this.pending = new PendingTasks(tasks, this.knowledge.failures());
		this.reconciler = new TaskReconciler(settings, workers, permissions, this.commands, this.knowledge,
				new EvictionBudgets(clock));
		this.planner = new ClaimPlanner(policy, this.pending, this.knowledge, new PreemptionPlanner(clock));
		this.waitLog = new WaitLog(self.name());
		this.lastScan = Stopwatch.start(clock);
	}

	Map<String, JobWait> waits() {
		return this.waits;
	}

	Knowledge knowledge() {
		return this.knowledge;
	}

	void run() {
		Either<Failure, Seq<Row>> shards = this.table.scan(TableKeys.SHARDS);
		if (shards.isLeft()) {
			storeFailed(shards.getLeft());
			return;
		}
		this.leases.poll(shards.get(), this.workers);
		List<ShardToken> tokens = adopted(this.leases.tokens());
		if (tokens.isEmpty()) {
			return;
		}
		Either<Failure, RoundConfiguration> read = RoundConfiguration.read(this.table, this.source);
		if (read.isLeft()) {
			storeFailed(read.getLeft());
			return;
		}
		RoundConfiguration configuration = read.get();
		this.reconciler.beginRound();
		tokens.forEach((token) -> reconcile(token, configuration));
		if (configuration.current()) {
			claim(tokens, configuration);
		}
		this.commands.prune();
	}

	private List<ShardToken> adopted(List<ShardToken> tokens) {
		boolean scan = scanDue();
		for (ShardToken token : tokens) {
			if (this.permissions.begin(token.domain(), token.epoch())) {
				EventLog.info(SchedulerEvent.SHARD_TAKEN, Field.of("domain", token.domain()),
						Field.of("epoch", token.epoch()));
				this.answers.inexact(token.domain());
			}
			scan |= !this.answers.isExact(token.domain(), token.epoch());
		}
		List<ShardToken> fenced = tokens.stream().filter(this::fenceUnknown).map(this::refreshed).toList();
		if (scan && !tokens.isEmpty()) {
			scan(fenced);
		}
		return fenced.stream().filter((token) -> this.answers.isExact(token.domain(), token.epoch())).toList();
	}

	private boolean scanDue() {
		HolderPreference preference = new HolderPreference(this.self, this.leases.records(), List.of());
		return preference.shared() && this.lastScan.observerElapsed().compareTo(this.settings.times().scan()) >= 0;
	}

	private boolean fenceUnknown(ShardToken token) {
		if (!this.unknown.contains(token.domain())) {
			return true;
		}
		boolean fenced = this.leases.find(token.domain()).get().renewNow();
		if (fenced) {
			this.unknown.remove(token.domain());
		}
		return fenced;
	}

	private ShardToken refreshed(ShardToken token) {
		return this.leases.find(token.domain()).flatMap((lease) -> lease.token()).getOrElse(token);
	}

	private void scan(List<ShardToken> tokens) {
		Either<Failure, Integer> refreshed = this.tasks.refresh(this.answers.exactDomains());
		if (refreshed.isLeft()) {
			storeFailed(refreshed.getLeft());
			return;
		}
		this.lastScan = Stopwatch.start(this.clock);
		tokens.forEach((token) -> this.answers.exact(token.domain(), token.epoch()));
	}

	private void reconcile(ShardToken token, RoundConfiguration configuration) {
		List<CachedTask> active = this.tasks.activeIn(token.domain());
		stopUnknownAttempts(token);
		List<TaskChange> changes = new ArrayList<>(this.reconciler.reconcile(token, active, configuration));
		if (configuration.current()) {
			changes.addAll(cleanUp(token, configuration));
		}
		int limit = this.settings.limits().rowsPerTransaction();
		for (int start = 0; start < changes.size(); start += limit) {
			List<TaskChange> part = changes.subList(start, Math.min(changes.size(), start + limit));
			if (!commit(token, part, configuration.transitionConditions())) {
				return;
			}
		}
	}

	private void stopUnknownAttempts(ShardToken token) {
		for (WorkerState worker : this.workers.in(token.domain())) {
			if (!this.workers.live(worker)) {
				continue;
			}
			worker.attempts().forEach((key, attempt) -> {
				if (attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING && !claimed(worker, key)) {
					this.commands.stopUnknown(worker, key, token.epoch());
				}
			});
		}
	}

	private boolean claimed(WorkerState worker, AttemptKey key) {
		return this.tasks.find(key.taskId())
			.map(CachedTask::record)
			.exists((row) -> row.status().mayRun() && row.attempt() == key.attempt()
					&& row.worker().equals(worker.worker()));
	}

	private List<TaskChange> cleanUp(ShardToken token, RoundConfiguration configuration) {
		List<TaskChange> changes = new ArrayList<>();
		for (String job : this.tasks.jobs()) {
			if (configuration.declares(job)) {
				continue;
			}
			for (CachedTask task : this.tasks.rowsOfJob(job)) {
				if (task.record().domain().equals(token.domain())) {
					cleanUp(task, changes);
				}
			}
		}
		return changes;
	}

	private static void cleanUp(CachedTask task, List<TaskChange> changes) {
		TaskRecord row = task.record();
		if (row.status() == TaskStatus.PENDING) {
			changes.add(TaskChange.of(task, row.apply(TaskTransition.CANCEL_PENDING, "", "the job was withdrawn")));
		}
		else if (row.status().terminal()) {
			changes.add(TaskChange.delete(task));
		}
	}

	private void claim(List<ShardToken> tokens, RoundConfiguration configuration) {
		this.ramp.observe(configuration.configuration().domainsOut());
		if (!this.planner.anyWaiting(configuration.configuration())) {
			publish(Map.of());
			return;
		}
		WorkerRooms rooms = new WorkerRooms();
		TeamUse use = new TeamUse(configuration.configuration());
		this.settings.domains()
			.forEach((domain) -> this.tasks.activeIn(domain).forEach((row) -> use.add(row.record())));
		for (ShardToken token : tokens) {
			if (!configuration.configuration().domainsOut().contains(token.domain())
					&& !this.unknown.contains(token.domain())) {
				addRooms(token, rooms);
			}
		}
		HolderPreference preference = new HolderPreference(this.self, this.leases.records(),
				configuration.configuration().domainsOut());
		ClaimPlan plan = this.planner.plan(configuration.configuration(), rooms, use,
				(task) -> preferred(task.record().taskId(), preference), this.settings.limits().rowsPerTransaction());
		publish(plan.waits());
		tokens.forEach((token) -> commitPlan(token, plan, configuration));
	}

	private void publish(Map<String, JobWait> present) {
		this.waits = Map.copyOf(present);
		this.waitLog.update(present);
	}

	private void addRooms(ShardToken token, WorkerRooms rooms) {
		Map<String, List<CachedTask>> rows = new HashMap<>();
		for (CachedTask task : this.tasks.activeIn(token.domain())) {
			rows.computeIfAbsent(task.record().worker(), (worker) -> new ArrayList<>()).add(task);
		}
		for (WorkerState worker : this.ramp.admitted(token.domain(), this.workers.in(token.domain()))) {
			boolean takesTasks = this.workers.live(worker) && !worker.domainOut() && worker.epoch() == token.epoch()
					&& !this.knowledge.failures().onProbation(worker.worker());
			if (takesTasks) {
				rooms.add(worker, rows.getOrDefault(worker.worker(), List.of()));
			}
		}
	}

	private boolean preferred(String taskId, HolderPreference preference) {
		if (preference.prefersSelf(taskId)) {
			this.foreignSince.remove(taskId);
			return true;
		}
		Stopwatch since = this.foreignSince.computeIfAbsent(taskId, (id) -> Stopwatch.start(this.clock));
		return since.observerElapsed().compareTo(this.settings.times().foreignTasks()) >= 0;
	}

	private void commitPlan(ShardToken token, ClaimPlan plan, RoundConfiguration configuration) {
		List<TaskChange> changes = new ArrayList<>();
		plan.claims()
			.stream()
			.filter((claim) -> claim.worker().domain().equals(token.domain()))
			.map((claim) -> change(token, claim))
			.forEach(changes::add);
		plan.evictions()
			.stream()
			.filter((task) -> task.record().domain().equals(token.domain()))
			.map(SchedulingRound::preemption)
			.forEach(changes::add);
		if (!changes.isEmpty()) {
			commit(token, changes, configuration.claimConditions(token.domain()));
		}
	}

	private static TaskChange change(ShardToken token, Claim claim) {
		TaskRecord row = claim.task()
			.record()
			.claim(token.domain(), token.epoch(), claim.worker().worker(), claim.resources());
		return TaskChange.of(claim.task(), row).thenStart(claim.worker());
	}

	private static TaskChange preemption(CachedTask task) {
		TaskRecord row = task.record().apply(TaskTransition.EVICT, "", "an urgent task needs the room");
		return TaskChange.of(task, row).then(TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP);
	}

	private boolean commit(ShardToken token, List<TaskChange> changes, List<Transaction.Condition> conditions) {
		Either<Failure, List<TaskChange>> committed = this.tasks.commit(token, changes, conditions);
		if (committed.isRight()) {
			changes.forEach((change) -> command(token, change));
			changes.forEach(SchedulingRound::logChange);
			return true;
		}
		Failure failure = committed.getLeft();
		if (failure.code() == ErrorCode.STORE_UNKNOWN) {
			EventLog.warn(SchedulerEvent.SCHEDULER_COMMIT_UNKNOWN, Field.of("domain", token.domain()));
			this.unknown.add(token.domain());
			this.answers.inexact(token.domain());
		}
		else if (failure.code() == ErrorCode.FENCED) {
			EventLog.info(SchedulerEvent.SCHEDULER_TRANSACTION_REFUSED, Field.of("domain", token.domain()));
		}
		else {
			storeFailed(failure);
		}
		return false;
	}

	private static void logChange(TaskChange change) {
		TaskRecord row = change.after();
		if (change.startOn() != null) {
			EventLog.info(SchedulerEvent.TASK_CLAIMED, Field.of("task", row.taskId()),
					Field.of("attempt", row.attempt()), Field.of("worker", row.worker()));
		}
		else if (row.status() == TaskStatus.PENDING && !change.deletion()) {
			TaskRecord before = change.before().record();
			EventLog.info(SchedulerEvent.TASK_REQUEUED, Field.of("task", row.taskId()),
					Field.of("attempt", row.attempt()), Field.of("worker", before.worker()),
					Field.of("status", before.status()), Field.of("reason", before.reason()));
		}
	}

	private void command(ShardToken token, TaskChange change) {
		if (change.command() == TaskCommand.Kind.KIND_UNSPECIFIED) {
			return;
		}
		if (change.command() == TaskCommand.Kind.KIND_START) {
			this.knowledge.runTimes().started(change.after().attemptKey());
		}
		WorkerState worker = (change.startOn() != null) ? change.startOn()
				: this.workers.find(change.after().worker()).getOrNull();
		if (worker != null) {
			this.commands.send(worker, change.after(), token.epoch(), change.command(), worker.sequence());
		}
	}

	private void storeFailed(Failure failure) {
		EventLog.warn(SchedulerEvent.SCHEDULER_STORE_FAILED, Field.of("error", failure.message()));
	}

}
