package org.crocuspost.scheduler;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.shard.ShardRecord;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;
import org.crocuspost.wire.AttemptReport;

/**
 * View on the memory of a scheduler.
 */
final class DefaultSchedulerView implements SchedulerView {

	private static final double MEDIAN = 50;

	private final ConfigurationSource source;

	private final TaskTable tasks;

	private final WorkerDirectory workers;

	private final ShardLeases leases;

	private final SchedulingRound round;

	DefaultSchedulerView(ConfigurationSource source, TaskTable tasks, WorkerDirectory workers, ShardLeases leases,
			SchedulingRound round) {
		this.source = source;
		this.tasks = tasks;
		this.workers = workers;
		this.leases = leases;
		this.round = round;
	}

	@Override
	public List<JobStatus> jobs() {
		return this.source.current().jobs().values().stream().map(this::status).toList();
	}

	private JobStatus status(JobSpecification job) {
		Map<TaskStatus, Integer> counts = new EnumMap<>(TaskStatus.class);
		List<TaskRecord> rows = tasks(job.name());
		rows.forEach((row) -> counts.merge(row.status(), 1, Integer::sum));
		counts.merge(TaskStatus.PENDING, Math.max(0, job.count() - rows.size()), Integer::sum);
		Knowledge knowledge = this.round.knowledge();
		return new JobStatus(job.name(), job.team(), job.count(), counts, knowledge.sizes().sizeOf(job),
				knowledge.runTimes().percentile(job.name(), MEDIAN).toJavaOptional(), wait(job.name()));
	}

	@Override
	public List<TaskRecord> tasks(String job) {
		return this.tasks.rowsOfJob(job).stream().map(CachedTask::record).toList();
	}

	@Override
	public List<WorkerStatus> workers() {
		return this.workers.all().stream().map(this::status).toList();
	}

	private WorkerStatus status(WorkerState state) {
		int running = (int) state.attempts()
			.values()
			.stream()
			.filter((attempt) -> attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING)
			.count();
		return new WorkerStatus(state.worker(), state.rack(), state.domain(), state.capacity(), state.serviceReserve(),
				running, state.received().observerElapsed(), this.workers.live(state),
				this.round.knowledge().failures().onProbation(state.worker()));
	}

	@Override
	public List<ShardRecord> shards() {
		return this.leases.records();
	}

	@Override
	public Optional<Explanation> explain(String taskId) {
		Configuration configuration = this.source.current();
		int slash = taskId.lastIndexOf('/');
		String job = (slash < 0) ? taskId : taskId.substring(0, slash);
		Optional<TaskRecord> row = this.tasks.find(taskId).map(CachedTask::record).toJavaOptional();
		if (row.isEmpty() && !configuration.jobs().containsKey(job)) {
			return Optional.empty();
		}
		TaskRecord task = row.orElseGet(() -> TaskRecord.unclaimed(taskId, job, configuration.version()));
		return Optional.of(new Explanation(task, (task.status() == TaskStatus.PENDING) ? wait(job) : Optional.empty()));
	}

	private Optional<JobWait> wait(String job) {
		return Optional.ofNullable(this.round.waits().get(job));
	}

}
