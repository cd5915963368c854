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
 * Runs the rounds of the scheduler one after the other. A round renews the leases,
 * reconciles the task rows with the worker reports and claims waiting tasks. Each failure
 * domain uses at most a few transactions per round, and each of them carries all changes
 * up to the maximum number of rows, because the store limits the transactions per second
 * and not the rows.
 *
 * <p>
 * If the answer to a transaction is lost, it is unknown whether it was committed, and the
 * failure domain is skipped for the rest of the round. The next round renews the lease of
 * the domain, after which the lost transaction can no longer take effect, and then reads
 * the rows again. If a claim turns out to be durable although its start command was never
 * sent, the attempt is stopped at the worker and the task is tried again.
 */
final class SchedulingRound {

	private final SchedulingSettings settings;

	private final PeerIdentity self;

	private final TableService table;

	private final ConfigurationSource configurationSource;

	private final WorkerDirectory workers;

	private final ShardLeases leases;

	private final RenewalPermissions permissions;

	private final TaskTable tasks;

	private final ReportResponder responder;

	private final CommandSender commands;

	private final LearnedState learned;

	private final DomainRampUp rampUp;

	private final PendingTasks pendingTasks;

	private final TaskReconciler reconciler;

	private final ClaimPlanner planner;

	private final Clock clock;

	private final WaitLog waitLog;

	private final Map<String, Stopwatch> sinceDeferred = new HashMap<>();

	private final Set<String> unknownCommitDomains = new HashSet<>();

	private Stopwatch sinceLastScan;

	private volatile Map<String, JobWait> waits = Map.of();

	SchedulingRound(SchedulingSettings settings, PeerIdentity self, TableService table,
			ConfigurationSource configurationSource, PlacementPolicy policy, Clock clock, WorkerDirectory workers,
			ShardLeases leases, RenewalPermissions permissions, TaskTable tasks, ReportResponder responder) {
		this.settings = settings;
		this.self = self;
		this.table = table;
		this.configurationSource = configurationSource;
		this.clock = clock;
		this.workers = workers;
		this.leases = leases;
		this.permissions = permissions;
		this.tasks = tasks;
		this.responder = responder;
		this.commands = new CommandSender(clock, settings, workers);
		this.learned = LearnedState.empty(clock, settings.learnSizes());
		this.rampUp = new DomainRampUp(clock);
		this.pendingTasks = new PendingTasks(tasks, this.learned.failures());
		this.reconciler = new TaskReconciler(settings, workers, permissions, this.commands, this.learned,
				new EvictionBudgets(clock));
		this.planner = new ClaimPlanner(policy, this.pendingTasks, this.learned, new PreemptionPlanner(clock));
		this.waitLog = new WaitLog(self.name());
		this.sinceLastScan = Stopwatch.start(clock);
	}

	Map<String, JobWait> waits() {
		return this.waits;
	}

	LearnedState learned() {
		return this.learned;
	}

	void run() {
		Either<Failure, Seq<Row>> shards = this.table.scan(TableKeys.SHARDS);
		if (shards.isLeft()) {
			logStoreFailure(shards.getLeft());
			return;
		}
		this.leases.poll(shards.get(), this.workers);
		List<ShardToken> tokens = readyTokens(this.leases.tokens());
		if (tokens.isEmpty()) {
			return;
		}
		Either<Failure, RoundConfiguration> configurationRead = RoundConfiguration.read(this.table,
				this.configurationSource);
		if (configurationRead.isLeft()) {
			logStoreFailure(configurationRead.getLeft());
			return;
		}
		RoundConfiguration configuration = configurationRead.get();
		this.reconciler.beginRound();
		tokens.forEach((token) -> reconcile(token, configuration));
		if (configuration.current()) {
			claim(tokens, configuration);
		}
		this.commands.prune();
	}

	private List<ShardToken> readyTokens(List<ShardToken> tokens) {
		boolean scan = isScanDue();
		for (ShardToken token : tokens) {
			if (this.permissions.beginTerm(token.domain(), token.epoch())) {
				EventLog.info(SchedulerEvent.SHARD_TAKEN, Field.of("domain", token.domain()),
						Field.of("epoch", token.epoch()));
				this.responder.markInexact(token.domain());
			}
			scan |= !this.responder.isExact(token.domain(), token.epoch());
		}
		List<ShardToken> fencedTokens = tokens.stream()
			.filter(this::fenceUnknownCommit)
			.map(this::currentToken)
			.toList();
		if (scan && !tokens.isEmpty()) {
			scan(fencedTokens);
		}
		return fencedTokens.stream().filter((token) -> this.responder.isExact(token.domain(), token.epoch())).toList();
	}

	private boolean isScanDue() {
		HolderPreference preference = new HolderPreference(this.self, this.leases.records(), List.of());
		return preference.hasSeveralHolders()
				&& this.sinceLastScan.observerElapsed().compareTo(this.settings.times().scanInterval()) >= 0;
	}

	private boolean fenceUnknownCommit(ShardToken token) {
		if (!this.unknownCommitDomains.contains(token.domain())) {
			return true;
		}
		boolean renewed = this.leases.find(token.domain()).get().renewNow();
		if (renewed) {
			this.unknownCommitDomains.remove(token.domain());
		}
		return renewed;
	}

	private ShardToken currentToken(ShardToken token) {
		return this.leases.find(token.domain()).flatMap((lease) -> lease.token()).getOrElse(token);
	}

	private void scan(List<ShardToken> tokens) {
		Either<Failure, Integer> refreshed = this.tasks.refresh(this.responder.exactDomains());
		if (refreshed.isLeft()) {
			logStoreFailure(refreshed.getLeft());
			return;
		}
		this.sinceLastScan = Stopwatch.start(this.clock);
		tokens.forEach((token) -> this.responder.markExact(token.domain(), token.epoch()));
	}

	private void reconcile(ShardToken token, RoundConfiguration configuration) {
		List<CachedTask> active = this.tasks.activeIn(token.domain());
		stopUnassignedAttempts(token);
		List<TaskChange> changes = new ArrayList<>(this.reconciler.reconcile(token, active, configuration));
		if (configuration.current()) {
			changes.addAll(cleanUp(token, configuration));
		}
		int limit = this.settings.limits().maxRowsPerTransaction();
		for (int start = 0; start < changes.size(); start += limit) {
			List<TaskChange> batch = changes.subList(start, Math.min(changes.size(), start + limit));
			if (!commit(token, batch, configuration.transitionConditions())) {
				return;
			}
		}
	}

	private void stopUnassignedAttempts(ShardToken token) {
		for (WorkerState worker : this.workers.inDomain(token.domain())) {
			if (!this.workers.isLive(worker)) {
				continue;
			}
			worker.attempts().forEach((key, attempt) -> {
				if (attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING && !isAssigned(worker, key)) {
					this.commands.stopUnassigned(worker, key, token.epoch());
				}
			});
		}
	}

	private boolean isAssigned(WorkerState worker, AttemptKey key) {
		return this.tasks.find(key.taskId())
			.map(CachedTask::record)
			.exists((row) -> row.status().mayRun() && row.attempt() == key.attempt()
					&& row.worker().equals(worker.worker()));
	}

	private List<TaskChange> cleanUp(ShardToken token, RoundConfiguration configuration) {
		List<TaskChange> changes = new ArrayList<>();
		for (String job : this.tasks.jobs()) {
			if (configuration.mayDeclare(job)) {
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
		this.rampUp.update(configuration.configuration().domainsOut());
		if (!this.planner.anyWaiting(configuration.configuration())) {
			publishWaits(Map.of());
			return;
		}
		CandidateWorkers candidates = new CandidateWorkers();
		TeamUsage usage = new TeamUsage(configuration.configuration());
		this.settings.domains()
			.forEach((domain) -> this.tasks.activeIn(domain).forEach((row) -> usage.add(row.record())));
		for (ShardToken token : tokens) {
			if (!configuration.configuration().domainsOut().contains(token.domain())
					&& !this.unknownCommitDomains.contains(token.domain())) {
				addCandidates(token, candidates);
			}
		}
		HolderPreference preference = new HolderPreference(this.self, this.leases.records(),
				configuration.configuration().domainsOut());
		ClaimPlan plan = this.planner.plan(configuration.configuration(), candidates, usage,
				(task) -> shouldClaim(task.record().taskId(), preference),
				this.settings.limits().maxRowsPerTransaction());
		publishWaits(plan.waits());
		tokens.forEach((token) -> commitPlan(token, plan, configuration));
	}

	private void publishWaits(Map<String, JobWait> current) {
		this.waits = Map.copyOf(current);
		this.waitLog.logChanges(current);
	}

	private void addCandidates(ShardToken token, CandidateWorkers candidates) {
		Map<String, List<CachedTask>> rows = new HashMap<>();
		for (CachedTask task : this.tasks.activeIn(token.domain())) {
			rows.computeIfAbsent(task.record().worker(), (worker) -> new ArrayList<>()).add(task);
		}
		for (WorkerState worker : this.rampUp.admittedWorkers(token.domain(), this.workers.inDomain(token.domain()))) {
			boolean acceptsTasks = this.workers.isLive(worker) && !worker.domainOut()
					&& worker.acknowledgedEpoch() == token.epoch()
					&& !this.learned.failures().isOnProbation(worker.worker());
			if (acceptsTasks) {
				candidates.add(worker, rows.getOrDefault(worker.worker(), List.of()));
			}
		}
	}

	private boolean shouldClaim(String taskId, HolderPreference preference) {
		if (preference.prefersSelf(taskId)) {
			this.sinceDeferred.remove(taskId);
			return true;
		}
		Stopwatch stopwatch = this.sinceDeferred.computeIfAbsent(taskId, (id) -> Stopwatch.start(this.clock));
		return stopwatch.observerElapsed().compareTo(this.settings.times().preferenceTimeout()) >= 0;
	}

	private void commitPlan(ShardToken token, ClaimPlan plan, RoundConfiguration configuration) {
		List<TaskChange> changes = new ArrayList<>();
		plan.claims()
			.stream()
			.filter((claim) -> claim.worker().domain().equals(token.domain()))
			.map((claim) -> toChange(token, claim))
			.forEach(changes::add);
		plan.evictions()
			.stream()
			.filter((task) -> task.record().domain().equals(token.domain()))
			.map(SchedulingRound::toEviction)
			.forEach(changes::add);
		if (!changes.isEmpty()) {
			commit(token, changes, configuration.claimConditions(token.domain()));
		}
	}

	private static TaskChange toChange(ShardToken token, Claim claim) {
		TaskRecord row = claim.task()
			.record()
			.claim(token.domain(), token.epoch(), claim.worker().worker(), claim.resources());
		return TaskChange.of(claim.task(), row).withStart(claim.worker());
	}

	private static TaskChange toEviction(CachedTask task) {
		TaskRecord row = task.record().apply(TaskTransition.EVICT, "", "an urgent task needs the room");
		return TaskChange.of(task, row).withCommand(TaskCommand.Kind.KIND_CHECKPOINT_AND_STOP);
	}

	private boolean commit(ShardToken token, List<TaskChange> changes, List<Transaction.Condition> conditions) {
		Either<Failure, List<TaskChange>> committed = this.tasks.commit(token, changes, conditions);
		if (committed.isRight()) {
			changes.forEach((change) -> sendCommand(token, change));
			changes.forEach(SchedulingRound::logChange);
			return true;
		}
		Failure failure = committed.getLeft();
		if (failure.code() == ErrorCode.STORE_UNKNOWN) {
			EventLog.warn(SchedulerEvent.SCHEDULER_COMMIT_UNKNOWN, Field.of("domain", token.domain()));
			this.unknownCommitDomains.add(token.domain());
			this.responder.markInexact(token.domain());
		}
		else if (failure.code() == ErrorCode.FENCED) {
			EventLog.info(SchedulerEvent.SCHEDULER_TRANSACTION_REFUSED, Field.of("domain", token.domain()));
		}
		else {
			logStoreFailure(failure);
		}
		return false;
	}

	private static void logChange(TaskChange change) {
		TaskRecord row = change.after();
		if (change.startWorker() != null) {
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

	private void sendCommand(ShardToken token, TaskChange change) {
		if (change.command() == TaskCommand.Kind.KIND_UNSPECIFIED) {
			return;
		}
		if (change.command() == TaskCommand.Kind.KIND_START) {
			this.learned.runTimes().recordStart(change.after().attemptKey());
		}
		WorkerState worker = (change.startWorker() != null) ? change.startWorker()
				: this.workers.find(change.after().worker()).getOrNull();
		if (worker != null) {
			this.commands.send(worker, change.after(), token.epoch(), change.command(), worker.sequence());
		}
	}

	private void logStoreFailure(Failure failure) {
		EventLog.warn(SchedulerEvent.SCHEDULER_STORE_FAILED, Field.of("error", failure.message()));
	}

}
