import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The process that last wrote to the store under a condition is killed while tasks run
 * whose checkpoints contain a blank.
 */
public final class CheckpointText {

	private static final int JOBS = 3;

	private static final int TASK_MILLIS = 2_500;

	/** The bounds finish_s and recovery_s of the small deployments. */
	private static final long FINISH_NANOS = 14_000_000_000L;

	private static final long RECOVERY_NANOS = 12_000_000_000L;

	private static final int WAIT_MILLIS = 3_000;

	private CheckpointText() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		List<String> breaks = new ArrayList<>();
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 6,
				Deployment.configuration(1, Deployment.route("r-runs", "/runs/", 2, 3, 1_000)),
				(millis) -> "done " + millis); Client client = new Client(deployment)) {
			deployment.awaitReady(20);
			Client.sleep(3_000);
			String[] writer = new String[1];
			deployment.store.afterConditional = (conditional) -> {
				if (conditional.caller().startsWith("edge")) {
					writer[0] = conditional.caller();
				}
			};
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
			Client.sleep(3_500);
			if (trouble) {
				String leader = writer[0];
				deployment.kill(leader);
				Client.sleep(500);
				deployment.startProcess(leader);
			}
			Waiting waiting = new Waiting();
			waiting.observe(deployment, jobs, System.nanoTime() + RECOVERY_NANOS + FINISH_NANOS);
			for (String job : jobs) {
				String state = client.state("/runs/", job);
				long done = deployment.history.endsOf(job, "done");
				deployment.history.log("job " + job + " is " + state + ", runs ended done: " + done
						+ ", nothing has run for " + waiting.idleMillis(job) + " ms");
				if (done < 12 && waiting.idleMillis(job) > WAIT_MILLIS) {
					breaks.add("LOST " + job + ": shown as " + state + " with " + done + " of 12 tasks done, and nothing"
							+ " has run for " + waiting.idleMillis(job) + " ms");
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
		String id = "00c0ffee0000000" + number;
		String body = "{\"spec\":\"run " + id + "\",\"steps\":[{\"count\":4,\"cpu\":1800,\"mem_mb\":3200,"
				+ "\"estimate_ms\":" + TASK_MILLIS + ",\"checkpointing\":true},{\"count\":4,\"cpu\":1800,\"mem_mb\":3200,\"estimate_ms\":"
				+ TASK_MILLIS + ",\"checkpointing\":true,\"after\":[0]},{\"count\":4,\"cpu\":1800,\"mem_mb\":3200,"
				+ "\"estimate_ms\":" + TASK_MILLIS + ",\"checkpointing\":true,\"after\":[1]}]}";
		return new Plan(id, body, List.of(TASK_MILLIS, TASK_MILLIS, TASK_MILLIS), false, true);
	}

}
