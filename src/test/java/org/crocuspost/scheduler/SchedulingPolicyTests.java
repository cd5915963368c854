package org.crocuspost.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.TeamQuota;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.standin.WriteFault;
import org.crocuspost.standin.worker.RunRecord;
import org.crocuspost.standin.worker.TaskBehavior;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulingPolicyTests {

	private static final Duration MAX_START_DELAY = Duration.ofSeconds(4);

	private static final Duration MAX_URGENT_START_DELAY = Duration.ofMillis(3200);

	@Test
	void urgentTasksStartInTimeOnAFullyUsedFleet() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(10));
		deployment.configuration().declare(SchedulerFixtures.job("report", 200, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(90));
		Instant declaredAt = deployment.time().instant();
		deployment.configuration().declare(SchedulerFixtures.urgent("rebuild", 10, new Resources(2000, 2000, 0)));
		deployment.advance(Duration.ofSeconds(20));
		List<RunRecord> urgent = runs(deployment, "rebuild");
		assertThat(urgent).hasSize(10)
			.allSatisfy((run) -> assertThat(run.started()).isBefore(declaredAt.plus(MAX_URGENT_START_DELAY)));
		long evicted = runs(deployment, "report").stream().filter((run) -> run.phase() == Phase.STOPPED).count();
		assertThat(evicted).as("evictions").isEqualTo(20);
		deployment.advance(Duration.ofMinutes(50));
		new RunAssertions(deployment).isSafe().hasCompleted("report", 200).losesAtMost(Duration.ofMillis(10));
	}

	@Test
	void noTaskStartsInADomainOutOfService() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofSeconds(5));
		deployment.configuration().declare(SchedulerFixtures.job("report", 2000, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(30));
		deployment.links("south-w0").forEach((link) -> link.delay(Duration.ofMillis(2900)));
		Instant takenOutAt = deployment.time().instant();
		deployment.configuration().takeOutOfService("south");
		deployment.advance(Duration.ofSeconds(60));
		RunAssertions assertions = new RunAssertions(deployment).isSafe()
			.startsNothingIn("south", takenOutAt.plus(MAX_START_DELAY), deployment.time().instant());
		assertThat(assertions.runningIn("south")).isZero();
	}

	@Test
	void quotaLimitsTheTasksOfATeam() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(5));
		deployment.configuration().setQuota(new TeamQuota("team", new Resources(5000, 100_000, 0)));
		deployment.configuration().declare(SchedulerFixtures.job("report", 50, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofMinutes(1));
		assertThat(runs(deployment, "report")).hasSize(5);
		assertThat(reason(deployment, "report")).isEqualTo(WaitReason.QUOTA);
	}

	@Test
	void jobTooLargeForEveryWorkerIsReportedAndDoesNotBlockOthers() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofSeconds(10));
		deployment.configuration().declare(SchedulerFixtures.urgent("huge", 1, new Resources(9000, 1000, 0)));
		deployment.configuration().declare(SchedulerFixtures.job("report", 50, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofMinutes(1));
		assertThat(reason(deployment, "huge")).isEqualTo(WaitReason.LARGER_THAN_EVERY_WORKER);
		new RunAssertions(deployment).isSafe().hasCompleted("report", 50);
	}

	@Test
	void jobThatFailsOnEveryWorkerIsHeldWithoutPuttingWorkersOnProbation() {
		BatchDeployment deployment = new BatchDeployment(SchedulerFixtures.DOMAINS,
				(start) -> new TaskBehavior(Duration.ofSeconds(2), SchedulerFixtures.SMALL,
						start.jobName().equals("broken")));
		SchedulerFixtures.DOMAINS.forEach((domain) -> deployment.addWorkers(domain, 3, SchedulerFixtures.WORKER));
		deployment.startScheduler();
		deployment.configuration().declare(SchedulerFixtures.job("broken", 200, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(30));
		assertThat(reason(deployment, "broken")).isEqualTo(WaitReason.FAILS_EVERYWHERE);
		assertThat(runs(deployment, "broken")).hasSizeLessThan(200);
		deployment.configuration().declare(SchedulerFixtures.job("report", 72, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(30));
		assertThat(workersOf(deployment, "report")).hasSize(9);
	}

	@Test
	void workerOnWhichAllTasksFailIsPutOnProbation() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofSeconds(5));
		deployment.worker("west-w2").runtime().faults().failsEverything(true);
		List<JobSpecification> jobs = new ArrayList<>();
		for (int index = 0; index < 20; index++) {
			jobs.add(SchedulerFixtures.job("job-" + index, 40, SchedulerFixtures.SMALL));
		}
		deployment.configuration().declare(jobs);
		deployment.advance(Duration.ofMinutes(5));
		RunAssertions assertions = new RunAssertions(deployment).isSafe();
		jobs.forEach((job) -> assertions.hasCompleted(job.name(), 40));
		long failed = deployment.history().stream().filter((run) -> run.phase() == Phase.FAILED).count();
		assertThat(failed).isBetween(1L, 40L);
	}

	@Test
	void jobsDeclaredTooSmallNeverExceedTheCapacityOfAWorker() {
		Resources actualUsage = new Resources(1000, 10_000, 0);
		BatchDeployment deployment = new BatchDeployment(SchedulerFixtures.DOMAINS,
				(start) -> new TaskBehavior(Duration.ofMinutes(1), actualUsage, false));
		SchedulerFixtures.DOMAINS.forEach((domain) -> deployment.addWorkers(domain, 3, SchedulerFixtures.WORKER));
		deployment.startScheduler();
		deployment.configuration().declare(SchedulerFixtures.job("report", 30, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofMinutes(15));
		new RunAssertions(deployment).isSafe().hasCompleted("report", 30);
		List<RunRecord> runs = runs(deployment, "report");
		assertThat(runs.get(runs.size() - 1).resources().memoryMebibytes()).isGreaterThanOrEqualTo(10_000);
	}

	@Test
	void reservationsOfJobsDeclaredTooLargeShrinkToTheirUsage() {
		Resources declared = new Resources(8000, 8000, 0);
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofSeconds(20));
		deployment.configuration().declare(SchedulerFixtures.job("report", 300, declared));
		deployment.advance(Duration.ofMinutes(6));
		new RunAssertions(deployment).isSafe().hasCompleted("report", 300);
	}

	@Test
	void tasksThatFarExceedTheirDeclaredRunTimeCompleteInOneRun() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(50));
		deployment.configuration().declare(SchedulerFixtures.job("report", 72, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofMinutes(52));
		RunAssertions assertions = new RunAssertions(deployment).isSafe().hasCompleted("report", 72);
		assertThat(assertions.runs("report")).isEqualTo(72);
	}

	@Test
	void withdrawalOfManyJobsWhileTheyStartLeavesNoRunsAndNoRows() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofSeconds(30));
		List<JobSpecification> jobs = new ArrayList<>();
		for (int index = 0; index < 1000; index++) {
			jobs.add(SchedulerFixtures.job("job-" + index, 2, SchedulerFixtures.SMALL));
		}
		deployment.advance(Duration.ofSeconds(10));
		deployment.configuration().declare(jobs);
		deployment.advance(Duration.ofMillis(300));
		deployment.configuration().withdraw(jobs.stream().map(JobSpecification::name).collect(Collectors.toSet()));
		Instant withdrawn = deployment.time().instant();
		deployment.advance(Duration.ofSeconds(30));
		new RunAssertions(deployment).isSafe();
		assertThat(deployment.history()).isNotEmpty()
			.allSatisfy((run) -> assertThat(run.phase()).isNotEqualTo(Phase.RUNNING))
			.allSatisfy((run) -> assertThat(run.started()).isBefore(withdrawn.plus(MAX_START_DELAY)));
		assertThat(deployment.table().scan("task/").get()).isEmpty();
	}

	@Test
	void simultaneousEvictionRequestsAreRateLimited() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(30));
		deployment.configuration().declare(SchedulerFixtures.job("report", 72, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(20));
		deployment.workers()
			.forEach((worker) -> worker.agent()
				.running()
				.forEach((attempt) -> worker.agent().requestEviction(attempt.attempt())));
		deployment.advance(Duration.ofSeconds(10));
		long evicted = runs(deployment, "report").stream().filter((run) -> run.phase() == Phase.STOPPED).count();
		assertThat(evicted).isBetween(1L, 30L);
		new RunAssertions(deployment).isSafe().losesAtMost(Duration.ofMillis(10));
	}

	@Test
	void evictionCompletesDespiteAStoreOutageDuringIt() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(3));
		deployment.configuration().declare(SchedulerFixtures.job("report", 60, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(30));
		deployment.table().faults().nextWrites(WriteFault.NONE, WriteFault.LOST_AFTER_WRITE);
		deployment.configuration().takeOutOfService("north");
		deployment.advance(Duration.ofMillis(400));
		deployment.table().faults().down(true);
		deployment.advance(Duration.ofMinutes(2));
		deployment.table().faults().down(false);
		deployment.advance(Duration.ofMinutes(30));
		new RunAssertions(deployment).isSafe().hasCompleted("report", 60).losesAtMost(Duration.ofMinutes(1));
	}

	@Test
	void tasksOfASpreadJobAreSpreadEvenlyOverRacks() {
		BatchDeployment deployment = new BatchDeployment(List.of("north"),
				(start) -> new TaskBehavior(Duration.ofMinutes(5), SchedulerFixtures.SMALL, false));
		deployment.addWorkers("north", 9, SchedulerFixtures.WORKER);
		deployment.startScheduler();
		deployment.configuration()
			.declare(new JobSpecification("spread", "team", 6, SchedulerFixtures.SMALL, Duration.ofMinutes(5), 5, false,
					true, Optional.empty(), JobSpecification.Spread.RACK));
		deployment.advance(Duration.ofSeconds(20));
		assertThat(runs(deployment, "spread").stream()
			.map((run) -> run.worker().substring("north-w".length()))
			.map((index) -> Integer.parseInt(index) / 3)
			.collect(Collectors.groupingBy((rack) -> rack, Collectors.counting()))).containsOnlyKeys(0, 1, 2)
			.allSatisfy((rack, count) -> assertThat(count).isEqualTo(2));
	}

	@Test
	void acceleratorsLimitTheTasksThatNeedThem() {
		BatchDeployment deployment = new BatchDeployment(List.of("north"),
				(start) -> new TaskBehavior(Duration.ofMinutes(5), SchedulerFixtures.SMALL, false));
		deployment.addWorkers("north", 3, new Resources(8000, 16_000, 2));
		deployment.startScheduler();
		deployment.configuration().declare(SchedulerFixtures.job("train", 10, new Resources(1000, 1000, 1)));
		deployment.advance(Duration.ofSeconds(20));
		assertThat(runs(deployment, "train")).hasSize(6);
		new RunAssertions(deployment).isSafe();
	}

	@Test
	void domainReturnedToServiceReceivesTasksGradually() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(10));
		deployment.configuration().takeOutOfService("south");
		deployment.advance(Duration.ofSeconds(10));
		deployment.configuration().declare(SchedulerFixtures.job("report", 100, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(10));
		deployment.configuration().returnToService("south");
		deployment.advance(Duration.ofSeconds(3));
		assertThat(new RunAssertions(deployment).runningIn("south")).isBetween(1L, 8L);
		deployment.advance(Duration.ofSeconds(30));
		assertThat(new RunAssertions(deployment).runningIn("south")).isEqualTo(24);
	}

	@Test
	void viewExplainsWhyATaskWaits() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(10));
		deployment.configuration().declare(SchedulerFixtures.job("report", 100, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(40));
		SchedulerView view = holder(deployment);
		assertThat(view.explain("report/99")).hasValueSatisfying(
				(explanation) -> assertThat(explanation.waiting()).map(JobWait::reason).contains(WaitReason.NO_ROOM));
		assertThat(view.workers()).hasSize(9).allSatisfy((worker) -> assertThat(worker.runningAttempts()).isEqualTo(8));
		assertThat(view.explain("unknown/1")).isEmpty();
	}

	@Test
	void unassignedAttemptIsStopped() {
		BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofMinutes(10));
		deployment.advance(Duration.ofSeconds(10));
		AttemptKey unassigned = new AttemptKey("stray/0", 7);
		deployment.worker("north-w0")
			.runtime()
			.start(new TaskStart(unassigned, "stray", SchedulerFixtures.SMALL, "", Duration.ofMinutes(5)));
		deployment.advance(Duration.ofSeconds(10));
		assertThat(runs(deployment, "stray")).singleElement()
			.satisfies((run) -> assertThat(run.phase()).isEqualTo(Phase.STOPPED));
	}

	private static SchedulerView holder(BatchDeployment deployment) {
		return deployment.schedulers()
			.stream()
			.filter((scheduler) -> scheduler.scheduler().heldEpoch("south").isDefined())
			.findFirst()
			.orElseThrow()
			.scheduler()
			.view();
	}

	private static WaitReason reason(BatchDeployment deployment, String job) {
		return holder(deployment).jobs()
			.stream()
			.filter((status) -> status.job().equals(job))
			.findFirst()
			.flatMap(JobStatus::waiting)
			.map(JobWait::reason)
			.orElseThrow();
	}

	private static List<RunRecord> runs(BatchDeployment deployment, String job) {
		return deployment.history().stream().filter((run) -> run.job().equals(job)).toList();
	}

	private static Set<String> workersOf(BatchDeployment deployment, String job) {
		return runs(deployment, job).stream().map(RunRecord::worker).collect(Collectors.toSet());
	}

}
