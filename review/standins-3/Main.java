import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
 * not run.
 */
public final class Main {

	private static final int EDGES = 3;

	private static final int WORKERS = 11;

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
				case "gang-checkpoint" -> gangCheckpoint(record, trouble);
				case "gang-attempts" -> gangAttempts(record, trouble);
				case "lasting-gang" -> lastingGang(record, trouble);
				case "lasting-filler" -> lastingFiller(record, trouble);
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
				+ attempts + ",\"stretch\":2,\"target_latency_ms\":1000}],\"services\":[{\"name\":\""
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

	/** All members of a restarted gang must carry the same checkpoint. */
	private static int gangCheckpoint(Path record, boolean trouble) throws Exception {
		try (Deployment deployment = deployment(record, configuration(3))) {
			List<String> jobs = new ArrayList<>();
			int members = 4;
			for (int number = 1; number <= 24; number++) {
				String id = String.format("%08x%08x", 0xa0000000 + number, number);
				deployment.plan(id, new Worker.Plan(members, 14_000, true, true, 900));
				if (!deployment.submit(Deployment.PREFIX + id,
						"{\"spec\":\"gang " + number + "\",\"steps\":[{\"count\":" + members
								+ ",\"cpu\":900,\"mem_mb\":500,\"estimate_ms\":14000,\"checkpointing\":true,"
								+ "\"gang\":true,\"anti_affinity\":1}]}")) {
					return 2;
				}
				jobs.add(id);
				Worker.pause(130);
			}
			Worker.pause(3_000);
			List<Worker> sound = new ArrayList<>(deployment.workers);
			for (int crash = 0; crash < 3 && trouble; crash++) {
				Worker crashed = sound.get(0);
				for (Worker worker : sound) {
					if (worker.runningCount() > crashed.runningCount()) {
						crashed = worker;
					}
				}
				sound.remove(crashed);
				crashed.crash();
				Worker.pause(4_500);
				crashed.up();
				Worker.pause(1_500);
			}
			for (String id : jobs) {
				if (!awaitState(deployment, id, "completed", 40_000)) {
					deployment.record("job " + id + " is not completed");
				}
			}
			Map<String, TreeSet<String>> checkpoints = new TreeMap<>();
			for (Deployment.Start start : deployment.starts()) {
				String gang = start.task().substring(0, start.task().lastIndexOf('.')) + " run " + start.run();
				checkpoints.computeIfAbsent(gang, (key) -> new TreeSet<>()).add("'" + start.checkpoint() + "'");
			}
			int broken = 0;
			for (Map.Entry<String, TreeSet<String>> gang : checkpoints.entrySet()) {
				if (gang.getValue().size() > 1) {
					broken++;
					deployment.record("BROKEN gang " + gang.getKey() + " was started with " + gang.getValue());
				}
			}
			deployment.record(broken + " of " + checkpoints.size() + " runs of gangs with differing checkpoints");
			return (broken > 0) ? 1 : 0;
		}
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
	 * A long-running gang that was interrupted must run again, however full the service
	 * is.
	 */
	private static int lastingGang(Path record, boolean trouble) throws Exception {
		int members = 6;
		try (Deployment deployment = deployment(record, configuration(3))) {
			String id = "00000000000000ee";
			deployment.plan(id, new Worker.Plan(members, 1_000_000_000L, true, false, 4_000));
			if (!deployment.submit(Deployment.PREFIX + id,
					"{\"spec\":\"gang\",\"steps\":[{\"count\":" + members
							+ ",\"cpu\":8000,\"mem_mb\":1000,\"gang\":true,\"long_running\":true,"
							+ "\"anti_affinity\":1}]}")) {
				return 2;
			}
			Worker.pause(3_000);
			if (startsOf(deployment, id).size() != members) {
				return 2;
			}
			AtomicBoolean ended = new AtomicBoolean();
			// The clients hand in jobs that need 136 of the 176 cores.
			Thread clients = new Thread(() -> {
				for (int number = 1; number <= 400 && !ended.get(); number++) {
					String job = String.format("%08x%08x", 0xb0000000 + number, number);
					deployment.plan(job, new Worker.Plan(8, 3_000 + number % 7 * 300, false, false, 2_000));
					deployment.submit(Deployment.PREFIX + job,
							"{\"spec\":\"batch\",\"steps\":[{\"count\":8,\"cpu\":2000,\"mem_mb\":500,\"estimate_ms\":"
									+ (3_000 + number % 7 * 300) + "}]}");
					Worker.pause(460);
				}
			});
			clients.setDaemon(true);
			clients.start();
			Worker.pause(8_000);
			if (trouble) {
				String task = id + ".0.0.0";
				String host = startsOf(deployment, id).stream()
					.filter((start) -> start.task().equals(task))
					.findFirst()
					.orElseThrow()
					.worker();
				Worker crashed = deployment.workers.stream().filter((worker) -> worker.name.equals(host)).findFirst().get();
				crashed.crash();
				Worker.pause(4_500);
				crashed.up();
			}
			long calm = deployment.millis() + 4_000;
			long down = 0;
			long longest = 0;
			while (deployment.millis() < calm + 40_000) {
				int running = deployment.workers.stream().mapToInt((worker) -> worker.runningCount(id)).sum();
				if (deployment.millis() >= calm) {
					down = (running == 0) ? down + 100 : 0;
					longest = Math.max(longest, down);
				}
				Worker.pause(100);
			}
			ended.set(true);
			Worker.pause(1_000);
			deployment.record("the long-running gang had no run for " + longest + " ms, while "
					+ deployment.starts().stream().filter((start) -> start.millis() > calm).count()
					+ " runs of other jobs started");
			if (longest > 3_000) {
				deployment.record("BROKEN nothing of the long-running job has run for 3 s in calm");
			}
			return (longest > 3_000) ? 1 : 0;
		}
	}

	/** Each task of a long-running job must run again, whether others of it run or not. */
	private static int lastingFiller(Path record, boolean trouble) throws Exception {
		try (Deployment deployment = deployment(record, configuration(3))) {
			String services = "00000000000000cc";
			int served = WORKERS - 2;
			deployment.plan(services, new Worker.Plan(served, 1_000_000_000L, false, false, 17));
			if (!deployment.submit(Deployment.PREFIX + services,
					"{\"spec\":\"service\",\"steps\":[{\"count\":" + served
							+ ",\"cpu\":3200,\"mem_mb\":6400,\"long_running\":true,\"anti_affinity\":1,"
							+ "\"image\":\"watch\",\"target_ms\":24}]}")) {
				return 2;
			}
			Worker.pause(5_000);
			String id = "00000000000000ff";
			deployment.plan(id, new Worker.Plan(2, 1_000_000_000L, false, false, 400));
			if (!deployment.submit(Deployment.PREFIX + id,
					"{\"spec\":\"standing\",\"steps\":[{\"count\":2,\"cpu\":400,\"mem_mb\":500,\"long_running\":true,"
							+ "\"fills\":true,\"anti_affinity\":1,\"image\":\"feed\"}]}")) {
				return 2;
			}
			Worker.pause(3_000);
			List<Deployment.Start> first = startsOf(deployment, id);
			if (first.size() != 2) {
				deployment.record("starts of the filler: " + first.size());
				return 2;
			}
			if (trouble) {
				// The worker is lost for good.
				deployment.workers.stream()
					.filter((worker) -> worker.name.equals(first.get(0).worker()))
					.findFirst()
					.orElseThrow()
					.crash();
			}
			Worker.pause(40_000);
			int running = deployment.workers.stream().mapToInt((worker) -> worker.runningCount(id)).sum();
			deployment.record("tasks of the long-running job at work 40 s later: " + running + " of 2");
			if (running < 2) {
				deployment.record("BROKEN a long-running task does not run again");
			}
			return (running < 2) ? 1 : 0;
		}
	}

}
