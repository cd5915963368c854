import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
 * not run.
 */
public final class Main {

	private static final int EDGES = 3;

	private static final int WORKERS = 11;

	/** Path of the queue for batch work, which is the less urgent one. */
	private static final String BATCH = "/batch/";

	private Main() {
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status;
		Thread limit = new Thread(() -> {
			Worker.pause(114_000);
			System.exit(2);
		});
		limit.setDaemon(true);
		limit.start();
		try {
			Path record = Path.of(arguments[1]).resolve("record.txt");
			status = switch (arguments[0]) {
				case "gang-attempts" -> gangAttempts(record, trouble);
				case "small-runs" -> smallRuns(record, trouble);
				case "filler-memory" -> fillerMemory(record, trouble);
				case "gang-fillers" -> gangFillers(record, trouble);
				default -> throw new IllegalArgumentException(arguments[0]);
			};
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			status = 2;
		}
		System.exit(status);
	}

	private static String configuration(int attempts) {
		return "{\"version\":3,\"routes\":[{\"name\":\"gangs\",\"host\":\"" + Deployment.HOST + "\",\"path_prefix\":\""
				+ Deployment.PREFIX + "\",\"service\":\"" + Deployment.SERVICE + "\",\"priority\":0,\"attempts\":"
				+ attempts + ",\"stretch\":2,\"target_latency_ms\":1000},{\"name\":\"batch\",\"host\":\"" + Deployment.HOST
				+ "\",\"path_prefix\":\"" + BATCH + "\",\"service\":\"" + Deployment.SERVICE
				+ "\",\"priority\":2,\"attempts\":2,\"stretch\":2,\"target_latency_ms\":1000}],\"services\":[{\"name\":\""
				+ Deployment.SERVICE + "\"}],\"limits\":{\"max_body_bytes\":262144}}";
	}

	private static Deployment deployment(Path record, String configuration) throws Exception {
		Deployment deployment = new Deployment(record, EDGES, WORKERS, configuration);
		Worker.pause(8_000);
		while (!deployment.workers.stream().allMatch((worker) -> worker.held)) {
			if (deployment.millis() > 30_000 || !deployment.allAlive()) {
				throw new IllegalStateException("the agents do not call all workers");
			}
			Worker.pause(200);
		}
		Worker.pause(2_000);
		// A plain job shows that tasks run.
		String id = "00000000000000aa";
		deployment.plan(id, new Worker.Plan(1, 300, false, false, 500));
		boolean accepted = deployment.submit(Deployment.PREFIX + id,
				"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimate_ms\":300}]}");
		if (!accepted || !awaitState(deployment, id, "completed", 20_000)) {
			throw new IllegalStateException("the deployment does not run a job");
		}
		return deployment;
	}

	private static boolean awaitState(Deployment deployment, String id, String state, long millis) {
		long until = deployment.millis() + millis;
		while (deployment.millis() < until) {
			if (deployment.client(0, "GET", Deployment.PREFIX + id, "").body().contains("\"" + state + "\"")) {
				return true;
			}
			Worker.pause(500);
		}
		return false;
	}

	/** A gang that has failed as often as the queue allows must not start again. */
	private static int gangAttempts(Path record, boolean trouble) throws Exception {
		int attempts = 2;
		try (Deployment deployment = deployment(record, configuration(attempts))) {
			String id = "00000000000000bb";
			deployment.plan(id, new Worker.Plan(WORKERS, 2_000, true, false, 900));
			if (trouble) {
				deployment.workers.get(0).faulty(true);
			}
			if (!deployment.submit(Deployment.PREFIX + id,
					"{\"spec\":\"gang\",\"steps\":[{\"count\":" + WORKERS
							+ ",\"cpu\":900,\"mem_mb\":500,\"estimate_ms\":2000,\"gang\":true,\"anti_affinity\":1}]}")) {
				return 2;
			}
			int faulty = 0;
			long until = deployment.millis() + 40_000;
			while (deployment.millis() < until) {
				int run = deployment.starts()
					.stream()
					.filter((start) -> start.task().startsWith(id))
					.mapToInt(Deployment.Start::run)
					.max()
					.orElse(0);
				// Another worker is faulty for each of the runs that the queue allows.
				if (trouble && run > faulty && run <= attempts && membersOf(deployment, id, run) == WORKERS) {
					deployment.workers.get(faulty).faulty(false);
					faulty = run;
					if (run < attempts) {
						deployment.workers.get(faulty).faulty(true);
					}
				}
				String state = deployment.client(0, "GET", Deployment.PREFIX + id, "").body();
				if (state.contains("completed") || state.contains("failed")) {
					break;
				}
				Worker.pause(50);
			}
			Map<Integer, Integer> runs = new HashMap<>();
			deployment.starts()
				.stream()
				.filter((start) -> start.task().startsWith(id))
				.forEach((start) -> runs.merge(start.run(), 1, Integer::sum));
			deployment.record("starts by run: " + runs + ", attempts " + attempts);
			if (!runs.containsKey(trouble ? attempts : 1)) {
				// The disruption was not brought about.
				return 2;
			}
			boolean broken = runs.keySet().stream().anyMatch((run) -> run > attempts);
			if (broken) {
				deployment.record("BROKEN the gang was started again after " + attempts + " of its runs had failed");
			}
			return broken ? 1 : 0;
		}
	}

	/** A gang must start while there is capacity for it twice over. */
	private static int gangFillers(Path record, boolean trouble) throws Exception {
		int members = WORKERS + 1;
		try (Deployment deployment = deployment(record, configuration(2))) {
			// Services on all workers but one; each meets its target with ease.
			String services = "00000000000000cc";
			deployment.plan(services, new Worker.Plan(WORKERS - 1, 1_000_000_000L, false, false, 8));
			if (!deployment.submit(Deployment.PREFIX + services,
					"{\"spec\":\"service\",\"steps\":[{\"count\":" + (WORKERS - 1)
							+ ",\"cpu\":3200,\"mem_mb\":6400,\"long_running\":true,\"anti_affinity\":1,"
							+ "\"image\":\"watch\",\"target_ms\":24}]}")) {
				return 2;
			}
			Worker.pause(5_000);
			List<Worker> free = deployment.workers.stream().filter((worker) -> worker.runningCount() == 0).toList();
			if (free.size() != 1) {
				deployment.record("workers without a service: " + free.size());
				return 2;
			}
			if (trouble) {
				// The worker is lost for good.
				free.get(0).crash();
				Worker.pause(8_000);
			}
			String id = "00000000000000dd";
			deployment.plan(id, new Worker.Plan(members, 3_000, true, false, 400));
			if (!deployment.submit(Deployment.PREFIX + id,
					"{\"spec\":\"gang\",\"steps\":[{\"count\":" + members
							+ ",\"cpu\":400,\"mem_mb\":500,\"estimate_ms\":3000,\"gang\":true,\"fills\":true,"
							+ "\"image\":\"roster\"}]}")) {
				return 2;
			}
			boolean completed = awaitState(deployment, id, "completed", 45_000);
			long started = deployment.starts().stream().filter((start) -> start.task().startsWith(id)).count();
			deployment.record("gang of " + members + ": " + started + " starts, completed " + completed);
			if (started == 0) {
				deployment.record("BROKEN nothing of the gang has run for 45 s");
			}
			return (started == 0) ? 1 : 0;
		}
	}

	private static long membersOf(Deployment deployment, String id, int run) {
		return startsOf(deployment, id).stream().filter((start) -> start.run() == run).count();
	}

	/** Returns the starts of a job. */
	private static List<Deployment.Start> startsOf(Deployment deployment, String id) {
		return deployment.starts().stream().filter((start) -> start.task().startsWith(id)).toList();
	}

	/**
	 * A long-running task that was interrupted must run again, however full the service
	 * is.
	 * @param task the step of the long-running job
	 * @param tasks the number of tasks of that step
	 * @param jobs the number of batch jobs
	 * @param batch the step of each batch job
	 */
	private static int interrupted(Path record, boolean trouble, String task, int tasks, int jobs, String batch)
			throws Exception {
		try (Deployment deployment = deployment(record, configuration(3))) {
			String id = "00000000000000ee";
			deployment.plan(id, new Worker.Plan(tasks, 1_000_000_000L, false, false, 400));
			if (!deployment.submit(Deployment.PREFIX + id, "{\"spec\":\"standing\",\"steps\":[" + task + "]}")) {
				return 2;
			}
			Worker.pause(3_000);
			List<Deployment.Start> first = startsOf(deployment, id);
			if (first.size() != tasks) {
				deployment.record("starts of the long-running job: " + first.size());
				return 2;
			}
			for (int number = 1; number <= jobs; number++) {
				String job = String.format("%08x%08x", 0xb0000000 + number, number);
				deployment.plan(job, new Worker.Plan(1, 65_000, false, false, 200));
				if (!deployment.submit(BATCH + job, "{\"spec\":\"batch\",\"steps\":[" + batch + "]}")) {
					return 2;
				}
			}
			Worker.pause(8_000);
			deployment.record("runs of batch work: " + (deployment.starts().size() - first.size()));
			if (trouble) {
				// The worker is lost for good.
				deployment.workers.stream()
					.filter((worker) -> worker.name.equals(first.get(0).worker()))
					.findFirst()
					.orElseThrow()
					.crash();
			}
			Worker.pause(14_000);
			long down = 0;
			long longest = 0;
			for (int check = 0; check < 200; check++) {
				int running = deployment.workers.stream().mapToInt((worker) -> worker.runningCount(id)).sum();
				down = (running < tasks) ? down + 100 : 0;
				longest = Math.max(longest, down);
				Worker.pause(100);
			}
			deployment.record("from 14 s after the loss on, a long-running task was not at work for " + longest + " ms");
			if (longest > 3_000) {
				deployment.record("BROKEN a long-running task does not run again");
			}
			return (longest > 3_000) ? 1 : 0;
		}
	}

	private static int smallRuns(Path record, boolean trouble) throws Exception {
		return interrupted(record, trouble, "{\"count\":1,\"cpu\":15000,\"mem_mb\":2000,\"long_running\":true}", 1, 10,
				"{\"count\":80,\"cpu\":200,\"mem_mb\":100,\"estimate_ms\":65000}");
	}

	private static int fillerMemory(Path record, boolean trouble) throws Exception {
		return interrupted(record, trouble,
				"{\"count\":2,\"cpu\":400,\"mem_mb\":30000,\"long_running\":true,\"fills\":true,\"anti_affinity\":1,"
						+ "\"image\":\"feed\"}",
				2, 29, "{\"count\":1,\"cpu\":500,\"mem_mb\":20000,\"estimate_ms\":65000}");
	}

}
