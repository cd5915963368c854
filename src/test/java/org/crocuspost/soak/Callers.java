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
 * Callers who submit jobs, ask for their states and cancel some.
 */
final class Callers implements AutoCloseable {

	private static final int TRIES = 5;

	private static final Duration PATIENCE = Duration.ofSeconds(2);

	private static final int OK = 200;

	private static final int GONE = 410;

	private static final int TOO_MANY = 429;

	private static final int UNAVAILABLE = 503;

	private final List<URI> entries;

	private final RunLedger ledger;

	private final RandomGenerator random;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofMillis(500))
		.build();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);

	private final List<Job> jobs = new CopyOnWriteArrayList<>();

	Callers(List<URI> entries, RunLedger ledger, RandomGenerator random) {
		this.entries = entries;
		this.ledger = ledger;
		this.random = random;
	}

	void submitEvery(Duration interval) {
		this.timer.scheduleAtFixedRate(this::submitNext, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void submitNext() {
		JobPlan plan;
		int entry;
		synchronized (this.random) {
			plan = JobPlan.draw(this.random);
			entry = this.random.nextInt(this.entries.size());
		}
		Job job = new Job(plan);
		this.ledger.submitted(plan);
		this.jobs.add(job);
		this.timer.execute(() -> submit(job, entry, TRIES));
	}

	private void submit(Job job, int entry, int tries) {
		int status = call("POST", entry, job.plan.id(), job.plan.body());
		if (status / 100 == 2) {
			job.accepted = true;
			if (job.plan.cancelAfterMillis() > 0) {
				this.timer.schedule(() -> cancel(job, entry, TRIES), job.plan.cancelAfterMillis(),
						TimeUnit.MILLISECONDS);
			}
			this.timer.schedule(() -> follow(job, entry + 1), 1, TimeUnit.SECONDS);
			return;
		}
		job.onlyRefused &= status == TOO_MANY || status == UNAVAILABLE;
		if (tries > 1) {
			this.timer.schedule(() -> submit(job, entry + 1, tries - 1), 300, TimeUnit.MILLISECONDS);
		}
	}

	private void follow(Job job, int entry) {
		String state = show(job.plan, entry);
		if (state.equals("gone")) {
			this.ledger.breach("an accepted job is not known: " + job.plan.id());
		}
		check(job, state);
		if (!job.ended) {
			this.timer.schedule(() -> follow(job, entry + 1), 1, TimeUnit.SECONDS);
		}
	}

	private void check(Job job, String state) {
		switch (state) {
			case "completed" -> {
				job.ended = true;
				if (!this.ledger.done(job.plan)) {
					this.ledger.breach("shown as completed before its tasks were done: " + job.plan.id());
				}
			}
			case "cancelled" -> {
				job.ended = true;
				if (!job.cancelSent) {
					this.ledger.breach("shown as cancelled, but nobody cancelled it: " + job.plan.id());
				}
			}
			case "failed" -> {
				job.ended = true;
				this.ledger.breach("shown as failed without cause: " + job.plan.id());
			}
			default -> {
				// Queued, active or no answer: asked again.
			}
		}
	}

	private void cancel(Job job, int entry, int tries) {
		job.cancelSent = true;
		int status = call("DELETE", entry, job.plan.id(), new byte[0]);
		if (status / 100 == 2 || status == GONE) {
			job.cancelled = true;
		}
		else if (tries > 1) {
			this.timer.schedule(() -> cancel(job, entry + 1, tries - 1), 500, TimeUnit.MILLISECONDS);
		}
	}

	private int call(String method, int entry, String id, byte[] body) {
		try {
			return send(method, entry, id, body).statusCode();
		}
		catch (IOException ex) {
			// A broken connection; the outcome is unknown, like status 504.
			return 504;
		}
	}

	private String show(JobPlan plan, int entry) {
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
			.timeout(PATIENCE)
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
	 * Judges all jobs once the faults are over.
	 * @param entry the entry that is asked
	 * @return the promises that are broken; empty if all are kept so far
	 */
	List<String> judge(int entry) {
		List<String> broken = new ArrayList<>();
		for (Job job : this.jobs) {
			String id = job.plan.id();
			if (!job.accepted) {
				if (job.onlyRefused && this.ledger.started(id)) {
					broken.add("every attempt to submit was refused, but it ran: " + id);
				}
				continue;
			}
			if (job.cancelSent && !job.cancelled) {
				// The caller had no answer; the job is over once it has one.
				cancel(job, entry, 1);
			}
			String state = show(job.plan, entry);
			check(job, state);
			boolean over = state.equals("completed") || state.equals("cancelled");
			boolean expected = (job.plan.lasting() && !job.cancelled) ? state.equals("active") && this.ledger.runs(id)
					: over;
			if (!expected) {
				broken.add("accepted, but shown as \"" + state + "\" in the end: " + id);
			}
			else if (over && this.ledger.runs(id)) {
				broken.add("runs after its end: " + id);
			}
		}
		return broken;
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
	 * A job and what its caller knows of it.
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
