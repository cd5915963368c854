import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records what was sent, answered and run, and judges it.
 */
final class History {

	private static final class RunRecord {

		String task;

		int run;

		String worker;

		long startNanos;

		long endNanos;

		String how = "";

		boolean noted;

		boolean notedUnderLease;

	}

	private final Map<String, Plan> plans = new ConcurrentHashMap<>();

	private final List<RunRecord> runs = new ArrayList<>();

	private final PrintWriter record;

	private final long startNanos = System.nanoTime();

	History(Path file) throws IOException {
		this.record = new PrintWriter(file.toFile());
	}

	synchronized void log(String text) {
		this.record.printf("%9.3f %s%n", (System.nanoTime() - this.startNanos) / 1e9, text);
		this.record.flush();
	}

	void plan(Plan plan) {
		this.plans.put(plan.id(), plan);
	}

	Plan plan(String task) {
		return this.plans.get(task.substring(0, task.indexOf('.')));
	}

	synchronized void started(String task, int run, String worker, String spec) {
		log("start  " + task + " run " + run + " on " + worker);
		RunRecord started = new RunRecord();
		started.task = task;
		started.run = run;
		started.worker = worker;
		started.startNanos = System.nanoTime();
		this.runs.add(started);
	}

	synchronized void ended(String task, int run, String worker, String how) {
		log("end    " + task + " run " + run + " on " + worker + " " + how);
		find(task, run, worker).forEach((ended) -> {
			ended.endNanos = System.nanoTime();
			ended.how = how;
		});
	}

	synchronized void noted(String task, int run, String worker, boolean underLease) {
		log("noted  " + task + " run " + run + " on " + worker + (underLease ? "" : " (lease lapsed between)"));
		find(task, run, worker).forEach((ended) -> {
			ended.noted = true;
			ended.notedUnderLease = underLease;
		});
	}

	private List<RunRecord> find(String task, int run, String worker) {
		return this.runs.stream()
			.filter((other) -> other.task.equals(task) && other.run == run && other.worker.equals(worker))
			.toList();
	}

	synchronized long starts() {
		return this.runs.size();
	}

	synchronized long startsOf(String job) {
		return this.runs.stream().filter((run) -> run.task.startsWith(job + ".")).count();
	}

	synchronized long startsOfTask(String task) {
		return this.runs.stream().filter((run) -> run.task.equals(task)).count();
	}

	synchronized boolean runningNow(String job) {
		return this.runs.stream().anyMatch((run) -> run.task.startsWith(job + ".") && run.endNanos == 0);
	}

	synchronized boolean anyRunning() {
		return this.runs.stream().anyMatch((run) -> run.endNanos == 0);
	}

	synchronized long endsOf(String job, String how) {
		return this.runs.stream().filter((run) -> run.task.startsWith(job + ".") && run.how.equals(how)).count();
	}

	/** Returns the breaks of the rule TWICE. */
	synchronized List<String> twice() {
		List<String> breaks = new ArrayList<>();
		Map<String, List<RunRecord>> byTask = new HashMap<>();
		this.runs.forEach((run) -> byTask.computeIfAbsent(run.task, (task) -> new ArrayList<>()).add(run));
		byTask.forEach((task, records) -> {
			for (RunRecord first : records) {
				for (RunRecord second : records) {
					if (first == second || second.startNanos < first.startNanos) {
						continue;
					}
					if (first.endNanos == 0 || second.startNanos < first.endNanos) {
						breaks.add("TWICE " + task + ": run " + second.run + " on " + second.worker
								+ " began while run " + first.run + " worked on " + first.worker);
					}
					else if (first.how.equals("done") && first.noted && first.notedUnderLease) {
						breaks.add("TWICE " + task + ": run " + second.run + " on " + second.worker + " began "
								+ (second.startNanos - first.endNanos) / 1_000_000 + " ms after run " + first.run
								+ " had ended done on " + first.worker + ", an end that was taken note of");
					}
				}
			}
		});
		return breaks;
	}

}
