import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The leader is killed while many accepted jobs wait, on entries with a link of 14 Mbit/s.
 */
public final class NarrowLink {

	/** The link of each edge machine of the large deployment. */
	private static final double LINK_MEGABITS = 14;

	private static final int JOBS = 520;

	/** 8.16 + 2.4 + 0.06 jobs of the three kinds of the large deployment. */
	private static final double JOBS_PER_SECOND = 10.6;

	private static final int SPECIFICATION_BYTES = 4_000;

	private static final int TASK_MILLIS = 10_000;

	private static final int RESTART_MILLIS = 500;

	/** The bounds recovery_s and finish_s of the small deployments. */
	private static final long RECOVERY_NANOS = 12_000_000_000L;

	private static final long FINISH_NANOS = 14_000_000_000L;

	private static final int WAIT_MILLIS = 3_000;

	private NarrowLink() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		List<String> breaks = new ArrayList<>();
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 6,
				Deployment.configuration(1, Deployment.route("r-runs", "/runs/", 2, 3, 1_000)), Long::toHexString, LINK_MEGABITS);
				Client client = new Client(deployment)) {
			deployment.awaitReady(20);
			Client.sleep(2_000);
			String[] leader = new String[1];
			deployment.store.afterConditional = (conditional) -> {
				if (conditional.tables().contains("ledger")) {
					leader[0] = conditional.caller();
				}
			};
			long start = System.nanoTime();
			for (int number = 0; number < JOBS; number++) {
				client.submitLater("/runs/", plan(number));
				long due = start + (long) ((number + 1) * 1e9 / JOBS_PER_SECOND);
				Client.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
			}
			Client.sleep(1_000);
			deployment.history.log("accepted " + client.accepted.size());
			if (client.accepted.size() < JOBS * 9 / 10) {
				throw new IllegalStateException("too few jobs were accepted: " + client.accepted.size());
			}
			if (trouble) {
				String killed = leader[0];
				deployment.kill(killed);
				Client.sleep(RESTART_MILLIS);
				deployment.startProcess(killed);
			}
			long until = System.nanoTime() + RECOVERY_NANOS + FINISH_NANOS;
			long idleSince = System.nanoTime();
			while (System.nanoTime() < until) {
				if (deployment.history.anyRunning()) {
					idleSince = System.nanoTime();
				}
				Client.sleep(50);
			}
			long idleMillis = (System.nanoTime() - idleSince) / 1_000_000;
			long begun = client.accepted.keySet().stream().filter((job) -> deployment.history.startsOf(job) > 0).count();
			String text = client.accepted.size() + " jobs are accepted, " + begun
					+ " have begun, and no worker has run anything for " + idleMillis + " ms";
			deployment.history.log(text);
			if (begun < client.accepted.size() && idleMillis > WAIT_MILLIS) {
				breaks.add("LOST " + text);
			}
			breaks.addAll(deployment.history.twice());
			breaks.forEach(deployment.history::log);
			System.out.println(text);
		}
		catch (Exception ex) {
			ex.printStackTrace();
			System.exit(2);
			return;
		}
		breaks.forEach(System.out::println);
		System.out.println(breaks.size() + " breaks");
		System.exit(breaks.isEmpty() ? 0 : Deployment.BROKEN);
	}

	private static Plan plan(int number) {
		String id = String.format("00c0ffee0001%04x", number);
		String body = "{\"spec\":\"" + "s".repeat(SPECIFICATION_BYTES) + "\",\"steps\":[{\"count\":1,\"cpu\":8000,"
				+ "\"mem_mb\":3200,\"estimate_ms\":" + TASK_MILLIS + "}]}";
		return new Plan(id, body, List.of(TASK_MILLIS), false, false);
	}

}
