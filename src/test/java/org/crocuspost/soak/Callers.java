package org.crocuspost.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.crocuspost.json.JsonTrees;

/**
 * Simulates callers that submit jobs, poll their states and cancel some of them.
 */
final class Callers implements AutoCloseable {

	private static final int MAX_ATTEMPTS = 5;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private static final int GONE = 410;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final List<URI> entries;

	private final RunHistory runHistory;

	private final RandomGenerator random;

	private final boolean deadlyJobs;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofMillis(500))
		.build();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);

	private final List<Job> jobs = new CopyOnWriteArrayList<>();

	Callers(List<URI> entries, RunHistory runHistory, RandomGenerator random, boolean deadlyJobs) {
		this.deadlyJobs = deadlyJobs;
		this.entries = entries;
		this.runHistory = runHistory;
		this.random = random;
	}

	void submitEvery(Duration interval) {
		this.timer.scheduleAtFixedRate(this::submitNext, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void submitNext() {
		JobPlan plan;
		int entry;
		synchronized (this.random) {
			plan = JobPlan.generate(this.random);
			plan = this.deadlyJobs ? plan.withDeadlyShare() : plan;
			entry = this.random.nextInt(this.entries.size());
		}
		Job job = new Job(plan);
		this.runHistory.addSubmitted(plan);
		this.jobs.add(job);
		this.timer.execute(() -> submit(job, entry, MAX_ATTEMPTS));
	}

	private void submit(Job job, int entry, int attemptsLeft) {
		int status = call("POST", entry, job.plan.id(), job.plan.body());
		if (status / 100 == 2) {
			job.accepted = true;
			if (job.plan.cancelAfterMillis() > 0) {
				this.timer.schedule(() -> cancel(job, entry, MAX_ATTEMPTS), job.plan.cancelAfterMillis(),
						TimeUnit.MILLISECONDS);
			}
			this.timer.schedule(() -> pollState(job, entry + 1), 1, TimeUnit.SECONDS);
			return;
		}
		job.onlyRefused &= status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
		if (attemptsLeft > 1) {
			this.timer.schedule(() -> submit(job, entry + 1, attemptsLeft - 1), 300, TimeUnit.MILLISECONDS);
		}
	}

	private void pollState(Job job, int entry) {
		String state = fetchState(job.plan, entry);
		if (state.equals("gone")) {
			this.runHistory.addViolation("an accepted job no longer exists: " + job.plan.id());
		}
		checkState(job, state);
		if (!job.ended) {
			this.timer.schedule(() -> pollState(job, entry + 1), 1, TimeUnit.SECONDS);
		}
	}

	private void checkState(Job job, String state) {
		switch (state) {
			case "completed" -> {
				job.ended = true;
				if (!this.runHistory.isCompleted(job.plan)) {
					this.runHistory.addViolation("reported as completed before its tasks were done: " + job.plan.id());
				}
			}
			case "cancelled" -> {
				job.ended = true;
				if (!job.cancelSent) {
					this.runHistory
						.addViolation("reported as cancelled without a request to cancel it: " + job.plan.id());
				}
			}
			case "failed" -> {
				job.ended = true;
				if (!job.plan.deadly() || this.runHistory.crashes(job.plan.deadlyTask()) < 2) {
					this.runHistory.addViolation(
							"reported as failed although no task should use up its attempts: " + job.plan.id());
				}
			}
			default -> {
				// Queued, active or no answer: the state is polled again.
			}
		}
	}

	private void cancel(Job job, int entry, int attemptsLeft) {
		job.cancelSent = true;
		int status = call("DELETE", entry, job.plan.id(), new byte[0]);
		if (status / 100 == 2 || status == GONE) {
			job.cancelled = true;
		}
		else if (attemptsLeft > 1) {
			this.timer.schedule(() -> cancel(job, entry + 1, attemptsLeft - 1), 500, TimeUnit.MILLISECONDS);
		}
	}

	private int call(String method, int entry, String id, byte[] body) {
		try {
			return send(method, entry, id, body).statusCode();
		}
		catch (IOException ex) {
			// The connection broke, so the outcome is unknown, as with status 504.
			return 504;
		}
	}

	private String fetchState(JobPlan plan, int entry) {
		try {
			HttpResponse<byte[]> response = send("GET", entry, plan.id(), new byte[0]);
			if (response.statusCode() == GONE) {
				return "gone";
			}
			return (response.statusCode() == OK) ? JsonTrees.read(response.body()).path("state").asText() : "";
		}
		catch (IOException ex) {
			return "";
		}
	}

	private HttpResponse<byte[]> send(String method, int entry, String id, byte[] body) throws IOException {
		HttpRequest request = HttpRequest
			.newBuilder(this.entries.get(entry % this.entries.size()).resolve("/jobs/" + id))
			.timeout(REQUEST_TIMEOUT)
			.method(method, HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	/**
	 * Checks the final state of all jobs after the faults have ended.
	 * @param entry the index of the entry process to query
	 * @return descriptions of the violated guarantees; empty if all hold
	 */
	List<String> findViolations(int entry) {
		List<String> violations = new ArrayList<>();
		for (Job job : this.jobs) {
			String id = job.plan.id();
			if (!job.accepted) {
				if (job.onlyRefused && this.runHistory.hasStarted(id)) {
					violations.add("ran although every attempt to submit it was rejected: " + id);
				}
				continue;
			}
			if (job.cancelSent && !job.cancelled) {
				// The caller received no answer. The job must have ended once a retry is
				// answered.
				cancel(job, entry, 1);
			}
			String state = fetchState(job.plan, entry);
			checkState(job, state);
			boolean ended = state.equals(job.plan.deadly() ? "failed" : "completed") || state.equals("cancelled");
			boolean expected = (!job.plan.deadly() && job.plan.longRunning() && !job.cancelled)
					? state.equals("active") && this.runHistory.isRunning(id) : ended;
			if (!expected) {
				violations.add("accepted, but in state \"" + state + "\" after the recovery time: " + id);
			}
			else if (ended && this.runHistory.isRunning(id)) {
				violations.add("still runs after it ended: " + id);
			}
		}
		return violations;
	}

	int accepted() {
		return (int) this.jobs.stream().filter((job) -> job.accepted).count();
	}

	int submitted() {
		return this.jobs.size();
	}

	void stopSubmitting() {
		this.timer.shutdown();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * A submitted job and the answers that its caller has received.
	 */
	private static final class Job {

		private final JobPlan plan;

		private volatile boolean accepted;

		private volatile boolean onlyRefused = true;

		private volatile boolean cancelSent;

		private volatile boolean cancelled;

		private volatile boolean ended;

		private Job(JobPlan plan) {
			this.plan = plan;
		}

	}

}
