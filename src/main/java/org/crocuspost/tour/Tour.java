package org.crocuspost.tour;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.daemon.EntryProcess;
import org.crocuspost.daemon.ProcessContext;
import org.crocuspost.local.LocalDeployment;
import org.crocuspost.local.LocalWorker;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.report.BurnReport;
import org.crocuspost.standin.endpoint.LedgerEntry;
import org.crocuspost.standin.worker.RunRecord;

/**
 * Walks through a morning of a deployment: a note is applied, callers send requests
 * beside batch work, an endpoint leaves, a failure domain goes out and comes back, two
 * operators race. Judges the outcome by what the callers saw and what endpoints and
 * workers recorded.
 */
public final class Tour {

	private static final int REQUESTS_PER_SECOND = 200;

	private static final Duration STEP_LIMIT = Duration.ofSeconds(15);

	private static final Duration BATCH_LIMIT = Duration.ofSeconds(35);

	private static final Duration ORDINARY_LOAD = Duration.ofSeconds(2);

	private static final Duration OUTAGE = Duration.ofSeconds(5);

	/**
	 * Jobs with a longer declared run time than this are not awaited.
	 */
	private static final Duration LONGEST_AWAITED_RUN_TIME = Duration.ofMinutes(1);

	/**
	 * Time after an endpoint was told to leave within which it may still begin a request.
	 */
	private static final Duration LEAVE_BOUND = Duration.ofSeconds(2);

	private final LocalDeployment deployment;

	private final String firstNote;

	private final ProcessContext context = new ProcessContext("tour", 1);

	private final Patience patience = new Patience(this.context.clock());

	private final List<TourStep> steps = new ArrayList<>();

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Creates a tour.
	 * @param deployment the running deployment, without any note
	 * @param firstNote the text of the first release note
	 */
	public Tour(LocalDeployment deployment, String firstNote) {
		this.deployment = deployment;
		this.firstNote = firstNote;
	}

	/**
	 * Takes the tour.
	 * @return what happened
	 */
	public TourReport take() {
		try (TourOperator operator = operator(0); TourOperator rival = operator(1)) {
			applyFirstNote(operator);
			CallerLoad load = startLoad();
			awaitBatchWork();
			letEndpointLeave();
			DomainOutage outage = takeDomainOutAndBack(operator);
			awaitBatchDone();
			race(operator, rival);
			finish(load);
			judge(load, outage);
			load.close();
			return new TourReport(this.steps, this.findings, List.copyOf(load.records()), burn());
		}
		finally {
			this.context.close();
		}
	}

	private TourOperator operator(int entry) {
		return new TourOperator(this.deployment.entries().get(entry).operatorAddress(),
				this.deployment.settings().operatorToken());
	}

	private void applyFirstNote(TourOperator operator) {
		boolean accepted = operator.submit(this.firstNote);
		String noteId = accepted ? newestNoteId() : "";
		step("the first note is in force", accepted && inForce(operator, noteId));
	}

	private String newestNoteId() {
		this.patience.until(STEP_LIMIT, () -> configuration().version() > 0);
		return configuration().noteId();
	}

	private boolean inForce(TourOperator operator, String noteId) {
		return this.patience.until(STEP_LIMIT, () -> operator.inForce(noteId));
	}

	private CallerLoad startLoad() {
		List<InetSocketAddress> entries = this.deployment.entries().stream().map(EntryProcess::callerAddress).toList();
		String prefix = configuration().services().values().iterator().next().match().pathPrefix();
		CallerLoad load = new CallerLoad(entries, prefix + "/", REQUESTS_PER_SECOND, this.context);
		load.start();
		this.patience.pause(ORDINARY_LOAD);
		step("callers get answers", load.records().stream().anyMatch(CallRecord::succeeded));
		return load;
	}

	private void awaitBatchWork() {
		step("batch work runs beside the service",
				this.patience.until(STEP_LIMIT, () -> runs().stream().anyMatch((run) -> run.phase() == Phase.RUNNING)));
	}

	private void letEndpointLeave() {
		LocalWorker leaving = this.deployment.workers().get(0);
		leaving.agent().drainEndpoint();
		this.patience.pause(LEAVE_BOUND);
		int before = leaving.endpoint().ledger().size();
		this.patience.pause(ORDINARY_LOAD);
		int after = leaving.endpoint().ledger().size();
		step("endpoint " + leaving.host().endpoint().id() + " has left", leaving.endpoint().running() == 0);
		this.findings.add(Finding.of("a leaving endpoint gets no new work", after - before, before + " before"));
	}

	private DomainOutage takeDomainOutAndBack(TourOperator operator) {
		String domain = this.deployment.settings().failureDomains().get(1);
		boolean out = operator.submit(domainNote("tour-out", "out", domain));
		Instant outAt = this.context.clock().instant();
		step(domain + " is out everywhere", out && inForce(operator, "tour-out"));
		step("its batch work moves elsewhere", this.patience.until(STEP_LIMIT, () -> running(domain) == 0));
		this.patience.pause(OUTAGE);
		Instant backAt = this.context.clock().instant();
		boolean back = operator.submit(domainNote("tour-back", "back", domain));
		step(domain + " is back everywhere", back && inForce(operator, "tour-back"));
		return new DomainOutage(domain, outAt, backAt);
	}

	private String domainNote(String id, String change, String domain) {
		return "{ \"id\": \"%s\", \"basedOn\": %d, \"domains\": { \"%s\": [\"%s\"] } }".formatted(id,
				configuration().version(), change, domain);
	}

	private long running(String domain) {
		return this.deployment.workers()
			.stream()
			.filter((worker) -> worker.host().failureDomain().equals(domain))
			.flatMap((worker) -> worker.runtime().history().stream())
			.filter((run) -> run.phase() == Phase.RUNNING)
			.count();
	}

	private void awaitBatchDone() {
		List<JobSpecification> awaited = configuration().jobs()
			.values()
			.stream()
			.filter((job) -> job.runTime().compareTo(LONGEST_AWAITED_RUN_TIME) <= 0)
			.toList();
		boolean done = this.patience.until(BATCH_LIMIT, () -> awaited.stream().allMatch(this::done));
		long tasks = awaited.stream().mapToLong(JobSpecification::count).sum();
		step(tasks + " batch tasks are done", done);
		awaited.forEach(this::describeUnfinished);
	}

	private void describeUnfinished(JobSpecification job) {
		Map<String, RunRecord> newest = new TreeMap<>();
		runs().stream()
			.filter((run) -> run.job().equals(job.name()))
			.forEach((run) -> newest.merge(run.attempt().taskId(), run,
					(first, second) -> (first.attempt().attempt() > second.attempt().attempt()) ? first : second));
		newest.values()
			.stream()
			.filter((run) -> run.phase() != Phase.SUCCEEDED)
			.forEach((run) -> step(run.attempt().taskId() + ", " + run.phase() + " on " + run.worker() + ", "
					+ run.progress().toMillis() + " ms done" + reasons(run.attempt().taskId()), false));
	}

	private String reasons(String task) {
		return this.deployment.schedulers()
			.stream()
			.flatMap((scheduler) -> scheduler.view().explain(task).stream())
			.map((explanation) -> "; " + explanation.task().status()
					+ explanation.waiting().map((wait) -> ", " + wait.reason() + " (" + wait.detail() + ")").orElse(""))
			.collect(Collectors.joining());
	}

	private boolean done(JobSpecification job) {
		long succeeded = runs().stream()
			.filter((run) -> run.job().equals(job.name()) && run.phase() == Phase.SUCCEEDED)
			.count();
		return succeeded == job.count();
	}

	private void race(TourOperator operator, TourOperator rival) {
		long base = configuration().version();
		AtomicInteger winners = new AtomicInteger();
		CompletableFuture<Void> first = submitAsync(operator, raceNote("tour-race-1", base), winners);
		CompletableFuture<Void> second = submitAsync(rival, raceNote("tour-race-2", base), winners);
		CompletableFuture.allOf(first, second).join();
		step("of two racing operators one wins", winners.get() == 1);
	}

	private CompletableFuture<Void> submitAsync(TourOperator operator, String note, AtomicInteger winners) {
		return CompletableFuture.runAsync(() -> winners.addAndGet(operator.submit(note) ? 1 : 0),
				this.context.blockingExecutor());
	}

	private static String raceNote(String id, long base) {
		return """
				{ "id": "%s", "basedOn": %d, "added": {
				  "quotas": { "%s": { "milliCores": 1000, "memoryMebibytes": 1024 } } } }
				""".formatted(id, base, id);
	}

	private void finish(CallerLoad load) {
		load.stopSending();
		step("every caller has its answer", this.patience.until(STEP_LIMIT, () -> load.open() == 0));
	}

	private void judge(CallerLoad load, DomainOutage outage) {
		this.findings.addAll(new RequestJudge(load.records(), ledger()).findings());
		Set<String> checkpointedJobs = configuration().jobs()
			.values()
			.stream()
			.filter(JobSpecification::checkpointed)
			.map(JobSpecification::name)
			.collect(Collectors.toSet());
		TaskJudge tasks = new TaskJudge(this.deployment.settings().workers(), checkpointedJobs, runs());
		this.findings.addAll(tasks.findings(outage));
	}

	private List<LedgerEntry> ledger() {
		return this.deployment.workers().stream().flatMap((worker) -> worker.endpoint().ledger().stream()).toList();
	}

	private List<RunRecord> runs() {
		return this.deployment.workers().stream().flatMap((worker) -> worker.runtime().history().stream()).toList();
	}

	private Configuration configuration() {
		return this.deployment.entries().get(0).configuration().current();
	}

	private List<BurnReport> burn() {
		return TourReport
			.combine(this.deployment.entries().stream().flatMap((entry) -> entry.burn().stream()).toList());
	}

	private void step(String name, boolean done) {
		this.steps.add(new TourStep(name, done, this.context.clock().instant()));
	}

}
