import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The store does not answer the leader for a moment, while other processes accept jobs.
 * The leader then starts their tasks and is killed when it has given the first orders.
 */
public final class UnrecordedJobs {

	private static final int ENTRIES = 8;

	private static final int WORKERS = 11;

	/**
	 * Jobs of a grown deployment, 8.26 + 1.53 + 0.07 a second, with 1.7 times all of them
	 * and 1.9 times the first kind at the same time, rounded down.
	 */
	private static final int JOBS_PER_SECOND = 23;

	private static final int BURST_MILLIS = 3_000;

	private static final int SILENT_MILLIS = 1_600;

	private static final int RESTART_MILLIS = 500;

	/** Number of rows of a transaction that holds a first part of a backlog. */
	private static final int LARGE_TRANSACTION = 85;

	private static volatile Exception disruptionFailure;

	private UnrecordedJobs() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		long seed = Long.getLong("seed", System.nanoTime() % 1_000);
		Random random = new Random(seed);
		List<String> breaks;
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), ENTRIES, WORKERS,
				Deployment.configuration(1, Deployment.route("r-hold", "/holds/", 0, 3, 250)), Long::toHexString);
				Client client = new Client(deployment)) {
			deployment.awaitReady(20);
			Client.sleep(3_000);
			String[] leader = new String[1];
			deployment.store.afterConditional = (conditional) -> {
				if (conditional.tables().contains("ledger")) {
					leader[0] = conditional.caller();
				}
			};
			for (int number = 0; number < 10; number++) {
				client.submit("/holds/", plan(random));
				Client.sleep(100);
			}
			Client.sleep(2_000);
			Thread disruption = new Thread(() -> disturb(deployment, leader));
			if (trouble) {
				disruption.start();
			}
			int jobs = submit(client, random);
			disruption.join();
			if (disruptionFailure != null) {
				throw disruptionFailure;
			}
			Client.sleep(20_000);
			breaks = deployment.history.twice();
			long unfinished = client.accepted.entrySet()
				.stream()
				.filter((entry) -> !client.state(entry.getValue(), entry.getKey()).equals("completed"))
				.count();
			String text = "seed " + seed + ", accepted " + client.accepted.size() + ", not completed " + unfinished;
			deployment.history.log(text);
			if (client.accepted.size() < jobs * 3 / 4) {
				throw new IllegalStateException("too few jobs were accepted");
			}
			breaks.forEach(deployment.history::log);
		}
		catch (Exception ex) {
			ex.printStackTrace();
			System.exit(2);
			return;
		}
		breaks.stream().limit(5).forEach(System.out::println);
		System.out.println(breaks.size() + " breaks");
		System.exit(breaks.isEmpty() ? 0 : Deployment.BROKEN);
	}

	private static void disturb(Deployment deployment, String[] leader) {
		try {
			String disturbed = leader[0];
			silence(deployment, disturbed);
			CountDownLatch recorded = new CountDownLatch(1);
			deployment.store.afterConditional = (conditional) -> {
				if (conditional.tables().contains("tasks") && conditional.writes() > LARGE_TRANSACTION) {
					leader[0] = conditional.caller();
					recorded.countDown();
				}
			};
			if (!recorded.await(10, TimeUnit.SECONDS)) {
				throw new IllegalStateException("the leader did not record a first part of the backlog");
			}
			deployment.history.log(leader[0] + " has recorded a first part of the backlog");
			long started = deployment.history.starts();
			for (int wait = 0; wait < 30 && deployment.history.starts() == started; wait++) {
				Client.sleep(1);
			}
			String killed = leader[0];
			deployment.kill(killed);
			Client.sleep(RESTART_MILLIS);
			deployment.startProcess(killed);
		}
		catch (Exception ex) {
			disruptionFailure = ex;
		}
	}

	private static int submit(Client client, Random random) {
		long start = System.nanoTime();
		int jobs = BURST_MILLIS * JOBS_PER_SECOND / 1_000;
		for (int number = 0; number < jobs; number++) {
			client.submitLater("/holds/", plan(random));
			long due = start + (number + 1) * 1_000_000_000L / JOBS_PER_SECOND;
			Client.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
		}
		return jobs;
	}

	private static void silence(Deployment deployment, String process) {
		deployment.history.log("the store is silent for " + process);
		deployment.store.silence(process, true);
		Client.sleep(SILENT_MILLIS);
		deployment.store.silence(process, false);
		deployment.history.log("the store answers " + process + " again");
	}

	private static Plan plan(Random random) {
		StringBuilder id = new StringBuilder();
		for (int digit = 0; digit < 16; digit++) {
			id.append(Character.forDigit(random.nextInt(16), 16));
		}
		int millis = 600 + random.nextInt(800);
		String body = "{\"spec\":\"hold " + id + "\",\"steps\":[{\"count\":4,\"cpu\":240,\"mem_mb\":480,"
				+ "\"estimate_ms\":" + (500 + random.nextInt(1_000)) + "}]}";
		return new Plan(id.toString(), body, List.of(millis), false, false);
	}

}
