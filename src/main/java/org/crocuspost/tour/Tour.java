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
import org.crocuspost.standin.endpoint.ExecutedRequest;
import org.crocuspost.standin.worker.RunRecord;

/**
 * Runs a scenario against a deployment: applies a release note, sends requests while
 * batch tasks run, withdraws an endpoint, takes a failure domain out of service and
 * returns it, and submits two conflicting release notes concurrently. Checks the outcome
 * against what the callers observed and what the endpoints and workers recorded.
 */
public final class Tour {

	private static final int REQUESTS_PER_SECOND = 200;

	private static final Duration STEP_TIMEOUT = Duration.ofSeconds(15);

	private static final Duration BATCH_TIMEOUT = Duration.ofSeconds(35);

	private static final Duration STEADY_LOAD_DURATION = Duration.ofSeconds(2);

	private static final Duration OUTAGE_DURATION = Duration.ofSeconds(5);

	/**
	 * Limit on the declared run time of the jobs whose completion is awaited.
	 */
	private static final Duration LONGEST_AWAITED_RUN_TIME = Duration.ofMinutes(1);

	/**
	 * Time after the withdrawal of an endpoint during which it may still start a request.
	 */
	private static final Duration WITHDRAWAL_GRACE_PERIOD = Duration.ofSeconds(2);

	private final LocalDeployment deployment;

	private final String firstNote;

	private final ProcessContext context = new ProcessContext("tour", 1);

	private final ConditionWaiter waiter = new ConditionWaiter(this.context.clock());

	private final List<TourStep> steps = new ArrayList<>();

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Creates a tour.
	 * @param deployment the running deployment, to which no release note was submitted
	 * @param firstNote the text of the first release note
	 */
	public Tour(LocalDeployment deployment, String firstNote) {
		this.deployment = deployment;
		this.firstNote = firstNote;
	}

	/**
	 * Runs the tour.
	 * @return the report
	 */
	public TourReport run() {
		try (ReleaseNoteClient client = createClient(0); ReleaseNoteClient otherClient = createClient(1)) {
			applyFirstNote(client);
			LoadGenerator load = startLoad();
			awaitRunningBatchTask();
			withdrawEndpoint();
			DomainOutage outage = takeDomainOutAndReturnIt(client);
			awaitBatchCompletion();
			submitConcurrently(client, otherClient);
			awaitOpenRequests(load);
			verifyGuarantees(load, outage);
			load.close();
			return new TourReport(this.steps, this.findings, List.copyOf(load.records()), burnReports());
		}
		finally {
			this.context.close();
		}
	}

	private ReleaseNoteClient createClient(int entry) {
		return new ReleaseNoteClient(this.deployment.entries().get(entry).operatorAddress(),
				this.deployment.settings().operatorToken());
	}

	private void applyFirstNote(ReleaseNoteClient client) {
		boolean accepted = client.submit(this.firstNote);
		String noteId = accepted ? awaitNoteId() : "";
		recordStep("the first release note is in force", accepted && awaitInForce(client, noteId));
	}

	private String awaitNoteId() {
		this.waiter.awaitCondition(STEP_TIMEOUT, () -> configuration().version() > 0);
		return configuration().noteId();
	}

	private boolean awaitInForce(ReleaseNoteClient client, String noteId) {
		return this.waiter.awaitCondition(STEP_TIMEOUT, () -> client.isInForceEverywhere(noteId));
	}

	private LoadGenerator startLoad() {
		List<InetSocketAddress> entries = this.deployment.entries().stream().map(EntryProcess::callerAddress).toList();
		String prefix = configuration().services().values().iterator().next().match().pathPrefix();
		LoadGenerator load = new LoadGenerator(entries, prefix + "/", REQUESTS_PER_SECOND, this.context);
		load.start();
		this.waiter.pause(STEADY_LOAD_DURATION);
		recordStep("callers get answers", load.records().stream().anyMatch(CallRecord::succeeded));
		return load;
	}

	private void awaitRunningBatchTask() {
		recordStep("batch tasks run beside the service", this.waiter.awaitCondition(STEP_TIMEOUT,
				() -> runs().stream().anyMatch((run) -> run.phase() == Phase.RUNNING)));
	}

	private void withdrawEndpoint() {
		LocalWorker worker = this.deployment.workers().get(0);
		worker.agent().drainEndpoint();
		this.waiter.pause(WITHDRAWAL_GRACE_PERIOD);
		int before = worker.endpoint().executedRequests().size();
		this.waiter.pause(STEADY_LOAD_DURATION);
		int after = worker.endpoint().executedRequests().size();
		recordStep("endpoint " + worker.host().endpoint().id() + " has no running requests",
				worker.endpoint().running() == 0);
		this.findings.add(Finding.of("a withdrawn endpoint gets no new requests", after - before, before + " before"));
	}

	private DomainOutage takeDomainOutAndReturnIt(ReleaseNoteClient client) {
		String domain = this.deployment.settings().failureDomains().get(1);
		boolean outAccepted = client.submit(domainChangeNote("tour-out", "out", domain));
		Instant outAt = this.context.clock().instant();
		recordStep(domain + " is out of service everywhere", outAccepted && awaitInForce(client, "tour-out"));
		recordStep("its batch tasks move to other domains",
				this.waiter.awaitCondition(STEP_TIMEOUT, () -> countRunningTasks(domain) == 0));
		this.waiter.pause(OUTAGE_DURATION);
		Instant backAt = this.context.clock().instant();
		boolean backAccepted = client.submit(domainChangeNote("tour-back", "back", domain));
		recordStep(domain + " is back in service everywhere", backAccepted && awaitInForce(client, "tour-back"));
		return new DomainOutage(domain, outAt, backAt);
	}

	private String domainChangeNote(String id, String change, String domain) {
		return "{ \"id\": \"%s\", \"basedOn\": %d, \"domains\": { \"%s\": [\"%s\"] } }".formatted(id,
				configuration().version(), change, domain);
	}

	private long countRunningTasks(String domain) {
		return this.deployment.workers()
			.stream()
			.filter((worker) -> worker.host().failureDomain().equals(domain))
			.flatMap((worker) -> worker.runtime().history().stream())
			.filter((run) -> run.phase() == Phase.RUNNING)
			.count();
	}

	private void awaitBatchCompletion() {
		List<JobSpecification> awaited = configuration().jobs()
			.values()
			.stream()
			.filter((job) -> job.runTime().compareTo(LONGEST_AWAITED_RUN_TIME) <= 0)
			.toList();
		boolean completed = this.waiter.awaitCondition(BATCH_TIMEOUT,
				() -> awaited.stream().allMatch(this::allTasksSucceeded));
		long taskCount = awaited.stream().mapToLong(JobSpecification::count).sum();
		recordStep(taskCount + " batch tasks have succeeded", completed);
		awaited.forEach(this::recordUnfinishedTasks);
	}

	private void recordUnfinishedTasks(JobSpecification job) {
		Map<String, RunRecord> newest = new TreeMap<>();
		runs().stream()
			.filter((run) -> run.job().equals(job.name()))
			.forEach((run) -> newest.merge(run.attempt().taskId(), run,
					(first, second) -> (first.attempt().attempt() > second.attempt().attempt()) ? first : second));
		newest.values()
			.stream()
			.filter((run) -> run.phase() != Phase.SUCCEEDED)
			.forEach((run) -> recordStep(
					run.attempt().taskId() + ", " + run.phase() + " on " + run.worker() + ", "
							+ run.progress().toMillis() + " ms of progress" + waitReasons(run.attempt().taskId()),
					false));
	}

	private String waitReasons(String task) {
		return this.deployment.schedulers()
			.stream()
			.flatMap((scheduler) -> scheduler.view().explain(task).stream())
			.map((explanation) -> "; " + explanation.task().status()
					+ explanation.waiting().map((wait) -> ", " + wait.reason() + " (" + wait.detail() + ")").orElse(""))
			.collect(Collectors.joining());
	}

	private boolean allTasksSucceeded(JobSpecification job) {
		long succeeded = runs().stream()
			.filter((run) -> run.job().equals(job.name()) && run.phase() == Phase.SUCCEEDED)
			.count();
		return succeeded == job.count();
	}

	private void submitConcurrently(ReleaseNoteClient client, ReleaseNoteClient otherClient) {
		long base = configuration().version();
		AtomicInteger acceptedCount = new AtomicInteger();
		CompletableFuture<Void> first = submitAsync(client, quotaNote("tour-race-1", base), acceptedCount);
		CompletableFuture<Void> second = submitAsync(otherClient, quotaNote("tour-race-2", base), acceptedCount);
		CompletableFuture.allOf(first, second).join();
		recordStep("one of two concurrent release notes is accepted", acceptedCount.get() == 1);
	}

	private CompletableFuture<Void> submitAsync(ReleaseNoteClient client, String note, AtomicInteger acceptedCount) {
		return CompletableFuture.runAsync(() -> acceptedCount.addAndGet(client.submit(note) ? 1 : 0),
				this.context.blockingExecutor());
	}

	private static String quotaNote(String id, long base) {
		return """
				{ "id": "%s", "basedOn": %d, "added": {
				  "quotas": { "%s": { "milliCores": 1000, "memoryMebibytes": 1024 } } } }
				""".formatted(id, base, id);
	}

	private void awaitOpenRequests(LoadGenerator load) {
		load.stopSending();
		recordStep("every request has its answer",
				this.waiter.awaitCondition(STEP_TIMEOUT, () -> load.openRequests() == 0));
	}

	private void verifyGuarantees(LoadGenerator load, DomainOutage outage) {
		this.findings.addAll(new RequestVerifier(load.records(), ledger()).verify());
		Set<String> checkpointedJobs = configuration().jobs()
			.values()
			.stream()
			.filter(JobSpecification::checkpointed)
			.map(JobSpecification::name)
			.collect(Collectors.toSet());
		TaskVerifier taskVerifier = new TaskVerifier(this.deployment.settings().workers(), checkpointedJobs, runs());
		this.findings.addAll(taskVerifier.verify(outage));
	}

	private List<ExecutedRequest> ledger() {
		return this.deployment.workers()
			.stream()
			.flatMap((worker) -> worker.endpoint().executedRequests().stream())
			.toList();
	}

	private List<RunRecord> runs() {
		return this.deployment.workers().stream().flatMap((worker) -> worker.runtime().history().stream()).toList();
	}

	private Configuration configuration() {
		return this.deployment.entries().get(0).configuration().current();
	}

	private List<BurnReport> burnReports() {
		return TourReport
			.combineByService(this.deployment.entries().stream().flatMap((entry) -> entry.burn().stream()).toList());
	}

	private void recordStep(String name, boolean done) {
		this.steps.add(new TourStep(name, done, this.context.clock().instant()));
	}

}
