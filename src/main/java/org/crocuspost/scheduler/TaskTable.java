package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.shard.ShardToken;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;
import org.jspecify.annotations.Nullable;

/**
 * Caches the rows of all tasks and writes changes of them. The rows of tasks that may run
 * in a failure domain are changed only by the holder of that domain's lease, so the cache
 * is exact for the domains whose leases this process holds. Written by the scheduler's
 * thread only; read by several threads.
 */
final class TaskTable {

	private final TableService tableService;

	private final Map<String, CachedTask> tasks = new ConcurrentHashMap<>();

	private final Map<String, Long> loggedVersions = new HashMap<>();

	private final Map<String, Map<String, CachedTask>> activeByDomain = new HashMap<>();

	private final Map<String, Map<String, CachedTask>> pendingByJob = new HashMap<>();

	private final Map<String, Integer> rowsByJob = new HashMap<>();

	TaskTable(TableService tableService) {
		this.tableService = tableService;
	}

	/**
	 * Reads all rows into the cache. A row that is older than the cached one is ignored.
	 * A cached row that was not read is removed unless it belongs to an exact domain,
	 * whose rows only this process may delete.
	 * @param exactDomains the failure domains whose cached rows are exact
	 * @return the number of rows read, or the failure of the store
	 */
	Either<Failure, Integer> refresh(Set<String> exactDomains) {
		return this.tableService.scan(TableKeys.TASKS).map((rows) -> updateCache(rows, exactDomains));
	}

	/**
	 * Decodes a row on its own, so that a malformed one does not hide the others. Each
	 * version of a malformed row is logged once.
	 * @param row the row
	 * @return the task, or empty if the row is malformed
	 */
	private Optional<CachedTask> read(Row row) {
		Either<String, TaskRecord> record = Json.parse(row.value(), TaskRecord.class)
			.filterOrElse((task) -> TableKeys.task(task.taskId()).equals(row.key()),
					(task) -> "the record names another task than the key");
		if (record.isLeft()) {
			Long logged = this.loggedVersions.put(row.key(), row.version());
			if (logged == null || logged != row.version()) {
				EventLog.warn(SchedulerEvent.TASK_ROW_IGNORED, Field.of("key", row.key()),
						Field.of("version", row.version()), Field.of("reason", record.getLeft()));
			}
		}
		return record.map((task) -> new CachedTask(task, row.version())).toJavaOptional();
	}

	private Integer updateCache(Seq<Row> rows, Set<String> exactDomains) {
		Set<String> present = new HashSet<>();
		for (Row row : rows) {
			read(row).ifPresent((task) -> {
				present.add(task.record().taskId());
				CachedTask cached = this.tasks.get(task.record().taskId());
				if (cached == null || cached.version() < task.version()) {
					put(task);
				}
			});
		}
		List<String> deleted = this.tasks.values()
			.stream()
			.map(CachedTask::record)
			.filter((task) -> !exactDomains.contains(task.domain()) && !present.contains(task.taskId()))
			.map(TaskRecord::taskId)
			.toList();
		deleted.forEach(this::remove);
		return rows.size();
	}

	/**
	 * Returns the cached row of a task.
	 * @param taskId the identity of the task
	 * @return the cached row, or none if the task has no cached row
	 */
	Option<CachedTask> find(String taskId) {
		return Option.of(this.tasks.get(taskId));
	}

	Collection<CachedTask> all() {
		return this.tasks.values();
	}

	List<CachedTask> activeIn(String domain) {
		return List.copyOf(this.activeByDomain.getOrDefault(domain, Map.of()).values());
	}

	Collection<CachedTask> pendingOf(String job) {
		return this.pendingByJob.getOrDefault(job, Map.of()).values();
	}

	Set<String> jobs() {
		return Set.copyOf(this.rowsByJob.keySet());
	}

	int rowCount(String job) {
		return this.rowsByJob.getOrDefault(job, 0);
	}

	/**
	 * Writes changes in one transaction that requires the lease, the rows' versions and
	 * further conditions.
	 * @param token the proof of the lease
	 * @param changes the changes
	 * @param conditions further conditions
	 * @return the changes if they are durable; {@code FENCED} if a condition did not
	 * hold; the failure of the store otherwise
	 */
	Either<Failure, List<TaskChange>> commit(ShardToken token, List<TaskChange> changes,
			List<Transaction.Condition> conditions) {
		Transaction transaction = Transaction.empty().require(TableKeys.shard(token.domain()), token.rowVersion());
		for (Transaction.Condition condition : conditions) {
			transaction = transaction.require(condition.key(), condition.version());
		}
		for (TaskChange change : changes) {
			transaction = add(transaction, change);
		}
		return this.tableService.commit(transaction).flatMap((result) -> applyResult(token, changes, result));
	}

	private static Transaction add(Transaction transaction, TaskChange change) {
		String key = TableKeys.task(change.taskId());
		Transaction withCondition = transaction.require(key, change.before().version());
		return change.deletion() ? withCondition.delete(key) : withCondition.put(key, Json.write(change.after()));
	}

	private Either<Failure, List<TaskChange>> applyResult(ShardToken token, List<TaskChange> changes,
			CommitResult result) {
		if (result instanceof CommitResult.Conflict conflict) {
			conflict.rows().forEach(this::cacheRow);
			return Either.left(ErrorCode.FENCED.with(token.epoch(), "unknown"));
		}
		Map<String, Long> versions = new HashMap<>();
		((CommitResult.Committed) result).rows().forEach((row) -> versions.put(row.key(), row.version()));
		for (TaskChange change : changes) {
			if (change.deletion()) {
				remove(change.taskId());
			}
			else {
				put(new CachedTask(change.after(), versions.get(TableKeys.task(change.taskId()))));
			}
		}
		return Either.right(changes);
	}

	private void cacheRow(Row row) {
		if (!row.key().startsWith(TableKeys.TASKS)) {
			return;
		}
		if (row.exists()) {
			read(row).ifPresent(this::put);
		}
		else {
			remove(row.key().substring(TableKeys.TASKS.length()));
		}
	}

	private void put(CachedTask task) {
		TaskRecord record = task.record();
		removeFromIndexes(this.tasks.put(record.taskId(), task));
		this.rowsByJob.merge(record.job(), 1, Integer::sum);
		if (record.status().mayRun()) {
			this.activeByDomain.computeIfAbsent(record.domain(), (domain) -> new LinkedHashMap<>())
				.put(record.taskId(), task);
		}
		else if (record.status() == TaskStatus.PENDING) {
			this.pendingByJob.computeIfAbsent(record.job(), (job) -> new LinkedHashMap<>()).put(record.taskId(), task);
		}
	}

	private void remove(String taskId) {
		removeFromIndexes(this.tasks.remove(taskId));
	}

	private void removeFromIndexes(@Nullable CachedTask cached) {
		if (cached == null) {
			return;
		}
		String taskId = cached.record().taskId();
		TaskRecord record = cached.record();
		this.rowsByJob.computeIfPresent(record.job(), (job, rows) -> (rows > 1) ? rows - 1 : null);
		this.activeByDomain.getOrDefault(record.domain(), new HashMap<>()).remove(taskId);
		this.pendingByJob.getOrDefault(record.job(), new HashMap<>()).remove(taskId);
	}

	/**
	 * Lists the cached rows of a job.
	 * @param job the name of the job
	 * @return the rows
	 */
	List<CachedTask> rowsOfJob(String job) {
		List<CachedTask> rows = new ArrayList<>();
		for (CachedTask task : this.tasks.values()) {
			if (task.record().job().equals(job)) {
				rows.add(task);
			}
		}
		return rows;
	}

}
