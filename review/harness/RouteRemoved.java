import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator removes a route while accepted jobs of its queue are at work.
 */
public final class RouteRemoved {

	private static final int JOBS = 3;

	private static final int TASK_MILLIS = 3_000;

	/** The bounds finish_s and config_apply_ms of the small deployments. */
	private static final long FINISH_NANOS = 14_000_000_000L;

	private static final int WAIT_MILLIS = 3_000;

	private RouteRemoved() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		List<String> breaks = new ArrayList<>();
		String kept = Deployment.route("r-hold", "/holds/", 0, 3, 250);
		String removed = Deployment.route("r-runs", "/runs/", 2, 3, 1_000);
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 6,
				Deployment.configuration(1, kept, removed), Long::toHexString);
				Client client = new Client(deployment)) {
			deployment.awaitReady(20);
			Client.sleep(3_000);
			List<String> jobs = new ArrayList<>();
			for (int number = 0; number < JOBS; number++) {
				Plan plan = plan(number);
				if (client.submit("/runs/", plan)) {
					jobs.add(plan.id());
				}
			}
			if (jobs.size() < JOBS) {
				throw new IllegalStateException("a job was not accepted");
			}
			Client.sleep(1_000);
			deployment.history.log("the operator writes configuration 3");
			deployment.store.writeOperatorRow("config",
					trouble ? Deployment.configuration(3, kept) : Deployment.configuration(3, kept, removed));
			Waiting waiting = new Waiting();
			waiting.observe(deployment, jobs, System.nanoTime() + 2 * TASK_MILLIS * 1_000_000L + FINISH_NANOS);
			for (String job : jobs) {
				long done = deployment.history.endsOf(job, "done");
				deployment.history.log("job " + job + ": GET " + client.state("/runs/", job) + ", runs ended done: "
						+ done + ", nothing has run for " + waiting.idleMillis(job) + " ms");
				if (done < 8 && waiting.idleMillis(job) > WAIT_MILLIS) {
					breaks.add("LOST " + job + ": " + done + " of 8 tasks are done, and nothing has run for "
							+ waiting.idleMillis(job) + " ms");
				}
			}
			breaks.addAll(deployment.history.twice());
			breaks.forEach(deployment.history::log);
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
		String id = "00c0ffee0000001" + number;
		String body = "{\"spec\":\"run " + id + "\",\"steps\":[{\"count\":4,\"cpu\":1800,\"mem_mb\":3200,"
				+ "\"estimate_ms\":" + TASK_MILLIS + "},{\"count\":4,\"cpu\":1800,\"mem_mb\":3200,\"estimate_ms\":"
				+ TASK_MILLIS + ",\"after\":[0]}]}";
		return new Plan(id, body, List.of(TASK_MILLIS, TASK_MILLIS), false, false);
	}

}
