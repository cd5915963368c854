package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.ingress.AdmissionControl;
import org.crocuspost.ingress.IngressMetrics;
import org.crocuspost.ingress.JobAnswer;
import org.crocuspost.ingress.JobDirectory;
import org.crocuspost.ingress.JobRequest;
import org.crocuspost.ingress.JobService;
import org.crocuspost.ingress.LedgerView;
import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.lead.LeaderRecord;
import org.crocuspost.lead.OperatorView;
import org.crocuspost.lead.Tables;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.StoredRow;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays, on virtual time, a demand relative to the rate at which the workers complete
 * jobs, with the leader's estimate, three entry processes and callers that return after
 * the delay that they are told.
 */
class AdmissionReplayTests {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final int TICKS_PER_SECOND = 10;

	private static final int TASK_TICKS = 30;

	private static final int PERCENT = 100;

	private static final int WORKERS = 4;

	private static final int WORKER_MILLI_CORES = 16_000;

	private static final double DRAINED_JOBS_PER_SECOND = WORKERS * WORKER_MILLI_CORES / 48_000.0;

	private static final int MAXIMUM_RETURNS = 4;

	private static final Queue QUEUE = new Queue(DispatchFixture.QUEUE, "host", "/queue/", DispatchFixture.SERVICE, 2,
			3, 2, Duration.ofSeconds(1), false);

	private static final QueueConfiguration CONFIGURATION = new QueueConfiguration(2, List.of(QUEUE), List.of(), 1_000);

	private final DispatchFixture fixture = new DispatchFixture();

	private final MemoryRowStore store = new MemoryRowStore();

	private final JobDirectory[] directories = new JobDirectory[3];

	private final JobService[] entries = new JobService[3];

	private final Map<TaskKey, Double> ticksRun = new HashMap<>();

	private final Map<String, TrackedJob> tracked = new LinkedHashMap<>();

	private final Map<TaskProgress, Integer> running = new LinkedHashMap<>();

	private final AdmissionEstimator estimator = new AdmissionEstimator();

	private boolean inOrderOfAcceptance;

	private final TreeMap<Integer, List<String>> returns = new TreeMap<>();

	private final Map<String, Integer> triesOf = new HashMap<>();

	private final Map<String, Integer> acceptedTick = new HashMap<>();

	private final Map<String, Integer> endedTick = new HashMap<>();

	private final List<Integer> returnTicks = new ArrayList<>();

	private int rejections;

	AdmissionReplayTests() {
		this.fixture.dispatcher.configure(CONFIGURATION);
		for (int number = 0; number < WORKERS; number++) {
			this.fixture.worker("host-" + number, WORKER_MILLI_CORES);
		}
		for (int number = 0; number < this.entries.length; number++) {
			this.directories[number] = new JobDirectory((row) -> {
			}, new AdmissionControl(this.fixture.time), (recordedSubmissions) -> LedgerView.UNREAD);
			this.directories[number]
				.rowsChanged(List.of(new StoredRow(Tables.LEADER_KEY, 1, new LeaderRecord(1, 0, "entry").write())));
			this.entries[number] = new JobService(this.store, new FixedOperator(), this.directories[number],
					new IngressMetrics(new PrometheusRegistry()), this.fixture.time, this.fixture.time);
		}
	}

	/**
	 * The workers serve jobs in the order of their acceptance. Guards against accepting
	 * work that ends when it is of no use any more.
	 * @param seed the seed
	 */
	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22 })
	@Tag("known-red")
	void acceptedJobsEndWhileOfUseInOrderOfAcceptance(long seed) {
		this.inOrderOfAcceptance = true;
		play(seed, 2, 120);
		assertAcceptedJobsEndedWhileOfUse();
	}

	/**
	 * The dispatcher orders the jobs. Guards against new jobs that delay accepted ones
	 * until these are of no use.
	 * @param seed the seed
	 */
	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22 })
	@Tag("known-red")
	void acceptedJobsEndWhileOfUseInOrderOfDispatcher(long seed) {
		play(seed, 2, 120);
		assertAcceptedJobsEndedWhileOfUse();
	}

	/**
	 * Guards against callers that are rejected together and return together. A second of
	 * the overload brings as many jobs as the workers complete in two, so more returns
	 * than that in one second would be a second wave.
	 * @param seed the seed
	 */
	@ParameterizedTest
	@ValueSource(longs = { 41, 42, 43 })
	void returnsAreSpread(long seed) {
		this.inOrderOfAcceptance = true;
		play(seed, 2, 120);
		Map<Integer, Integer> returnsPerSecond = new HashMap<>();
		this.returnTicks.forEach((tick) -> returnsPerSecond.merge(tick / TICKS_PER_SECOND, 1, Integer::sum));
		double arrivals = 2 * DRAINED_JOBS_PER_SECOND * (1 + MAXIMUM_RETURNS);
		assertThat(this.returnTicks).isNotEmpty();
		assertThat(returnsPerSecond.values()).allMatch((count) -> count <= arrivals);
	}

	private void assertAcceptedJobsEndedWhileOfUse() {
		assertThat(this.rejections).isPositive();
		assertThat(this.acceptedTick.keySet()).isEqualTo(this.endedTick.keySet());
		this.acceptedTick.forEach((id, accepted) -> {
			JobSpecification specification = this.fixture.submissions.get(id).specification();
			long ofUse = WaitingOrder.objective(QUEUE, specification).multipliedBy(3).toMillis();
			assertThat((this.endedTick.get(id) - accepted) * TICK.toMillis()).as("job %s", id)
				.isLessThanOrEqualTo(ofUse);
		});
	}

	/**
	 * Guards against rejections while the workers complete what arrives.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 21, 22, 23 })
	void rejectsNothingWhileTheDemandIsMet(long seed) {
		play(seed, 0.8, 120);
		assertThat(this.rejections).isZero();
	}

	/**
	 * A job that no worker can run waits for ever. Guards against taking the rate of
	 * arrival of the other jobs for the rate at which the workers drain a backlog.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 31, 32 })
	void rejectsNothingBecauseOfAJobThatFitsNoWorker(long seed) {
		this.fixture.dispatcher.submitted(new JobSubmission("ffffffffffffffff", DispatchFixture.QUEUE,
				this.fixture.time.millis(), specification(8, "missing")), Optional.empty());
		play(seed, 0.3, 60);
		assertThat(this.rejections).isZero();
	}

	private void play(long seed, double load, int seconds) {
		SplittableRandom random = new SplittableRandom(seed);
		int number = 0;
		double due = 0;
		for (int tick = 0; tick < (seconds + 120) * TICKS_PER_SECOND; tick++) {
			if (tick < seconds * TICKS_PER_SECOND) {
				for (due += load * DRAINED_JOBS_PER_SECOND / TICKS_PER_SECOND * 2
						* random.nextDouble(); due >= 1; due--) {
					submit(String.format("%016x", seed * 1_000_000 + number++), tick, random);
				}
			}
			for (String id : Optional.ofNullable(this.returns.remove(tick)).orElse(List.of())) {
				submit(id, tick, random);
			}
			run(tick);
			if (tick % TICKS_PER_SECOND == 0) {
				String figures = measure().write();
				for (JobDirectory directory : this.directories) {
					directory.rowsChanged(List.of(new StoredRow(Tables.ADMISSION_KEY, tick + 2, figures)));
				}
			}
		}
	}

	private void submit(String id, int tick, SplittableRandom random) {
		int tasks = 4 + Math.floorMod(id.hashCode(), 9);
		JobSpecification specification = specification(tasks, "");
		int tries = this.triesOf.merge(id, 1, Integer::sum);
		JobAnswer[] answer = new JobAnswer[1];
		this.entries[random.nextInt(this.entries.length)].handle(new JobRequest(JobRequest.Method.SUBMIT, "host",
				"/queue/" + id, () -> Either.right(specification), Optional.empty()), (result) -> answer[0] = result);
		assertThat(answer[0]).as("told at once").isNotNull();
		if (answer[0] instanceof JobAnswer.Refused refused) {
			this.rejections++;
			int seconds = (int) refused.retryAfter().orElseThrow().toSeconds();
			assertThat(Duration.ofSeconds(seconds)).isEqualTo(refused.retryAfter().orElseThrow()).isPositive();
			if (tries <= MAXIMUM_RETURNS) {
				this.returnTicks.add(tick + seconds * TICKS_PER_SECOND);
				this.returns.computeIfAbsent(tick + seconds * TICKS_PER_SECOND, (missing) -> new ArrayList<>()).add(id);
			}
		}
		else {
			this.acceptedTick.put(id, tick);
			JobSubmission submission = new JobSubmission(id, DispatchFixture.QUEUE, this.fixture.time.millis(),
					specification);
			this.fixture.submissions.put(id, submission);
			this.tracked.put(id, new TrackedJob(new JobProgress(submission), this.fixture.time));
			if (!this.inOrderOfAcceptance) {
				this.fixture.dispatcher.submitted(submission, Optional.empty());
			}
		}
	}

	private AdmissionFigures measure() {
		if (!this.inOrderOfAcceptance) {
			return this.fixture.dispatcher.load().admission(1, Duration.ofSeconds(5));
		}
		long now = this.fixture.time.nanoTime();
		this.tracked.values()
			.forEach((job) -> job.rank(WaitingOrder.rank(job.job(), QUEUE, job.acceptedNanos(), now, 1)));
		long idle = Math.max(0, WORKERS * WORKER_MILLI_CORES - this.running.size() * 1_000L);
		AdmissionEstimator.Result result = this.estimator.survey(this.tracked.values(), (job) -> Optional.of(QUEUE),
				(queue, step) -> false,
				Map.of(DispatchFixture.SERVICE, new AdmissionEstimator.IdleCapacity(idle, idle)), now,
				this.fixture.time.millis());
		return new AdmissionFigures(1, this.fixture.time.millis(), this.fixture.time.millis() + 5_000,
				result.backlogs(), result.exclusiveImages());
	}

	private void runInOrderOfAcceptance(int tick) {
		this.fixture.time.advance(TICK);
		this.running.replaceAll((task, ticks) -> ticks + 1);
		this.running.entrySet().removeIf((entry) -> {
			if (entry.getValue() >= TASK_TICKS) {
				entry.getKey().complete();
			}
			return entry.getValue() >= TASK_TICKS;
		});
		this.tracked.forEach((id, job) -> {
			if (!job.job().state().terminal() && job.job().allDone()) {
				job.job().end(JobState.COMPLETED, this.fixture.time.millis());
				this.endedTick.put(id, tick);
			}
			for (int step = 0; step < 2 && !job.job().state().terminal(); step++) {
				if (job.job().predecessorsDone(0, step)) {
					job.job().tasks(0, step).forEach(this::startIfFree);
				}
			}
		});
	}

	private void startIfFree(TaskProgress task) {
		if (task.status().waiting() && this.running.size() < WORKERS * WORKER_MILLI_CORES / 1_000) {
			task.assign(1, "host", "worker", 1);
			this.running.put(task, 0);
		}
	}

	private static JobSpecification specification(int tasks, String label) {
		return new JobSpecification("text", List.of(step(tasks, label, List.of()), step(tasks, label, List.of(0))), 1,
				false, 0, 0);
	}

	private static StepSpecification step(int tasks, String label, List<Integer> predecessors) {
		return new StepSpecification(tasks, 1_000, 100, 0, Duration.ofSeconds(3), predecessors, true, false, false,
				label, "", 0, false, false, "light", Duration.ZERO, true, -1);
	}

	private void run(int tick) {
		if (this.inOrderOfAcceptance) {
			runInOrderOfAcceptance(tick);
			return;
		}
		this.fixture.time.advance(TICK);
		for (SimulatedWorker worker : this.fixture.workers.values()) {
			// Tasks beyond the capacity of the worker slow down all of them.
			double pace = Math.min(1, WORKER_MILLI_CORES / 1_000.0 / Math.max(1, worker.running.size()));
			for (TaskKey key : List.copyOf(worker.running.keySet())) {
				double ticks = this.ticksRun.merge(key, pace, Double::sum);
				if (ticks >= TASK_TICKS) {
					worker.end(key, "done");
				}
				else {
					worker.progress(key, (int) (PERCENT * ticks / TASK_TICKS));
				}
			}
		}
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		for (String id : this.acceptedTick.keySet()) {
			if (!this.endedTick.containsKey(id)
					&& this.fixture.dispatcher.job(id).orElseThrow().state() == JobState.COMPLETED) {
				this.endedTick.put(id, tick);
			}
		}
	}

	private static final class FixedOperator implements OperatorView {

		@Override
		public Optional<QueueConfiguration> configuration() {
			return Optional.of(CONFIGURATION);
		}

		@Override
		public Set<String> evacuatedDomains() {
			return Set.of();
		}

		@Override
		public Duration age() {
			return Duration.ZERO;
		}

	}

}
