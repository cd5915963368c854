import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One job of twenty takes longer than its estimate says. Its tasks work without a pause,
 * but for over 250 s, so that their percent rises by one in more than 2.5 s. The job needs a label that two of
 * six workers have.
 */
public final class LongTasks {

	private static final int JOBS = 20;

	private static final int TASKS = 6;

	private static final int TASK_MILLIS = 4_000;

	private static final int FACTOR = 75;

	private static final String LONG_JOB = "00c0ffee00000300";

	/** The bound finish_s of the small deployments, and time to watch after it. */
	private static final long FINISH_NANOS = 14_000_000_000L;

	private static final long WATCH_NANOS = 30_000_000_000L;

	private static final int WAIT_MILLIS = 3_000;

	private LongTasks() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		List<String> breaks = new ArrayList<>();
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 6,
				Deployment.configuration(1, Deployment.route("r-runs", "/runs/", 2, 3, 1_000)), Long::toHexString);
				Client client = new Client(deployment)) {
			deployment.awaitReady(20);
			Client.sleep(3_000);
			List<String> jobs = new ArrayList<>();
			for (int number = 0; number < JOBS; number++) {
				boolean slow = trouble && number == JOBS / 2;
				Plan plan = plan(number, slow ? FACTOR * TASK_MILLIS : TASK_MILLIS);
				if (client.submit("/runs/", plan)) {
					jobs.add(plan.id());
				}
				Client.sleep(500);
			}
			if (jobs.size() < JOBS) {
				throw new IllegalStateException("a job was not accepted");
			}
			Waiting waiting = new Waiting();
			waiting.observe(deployment, List.of(), System.nanoTime() + FINISH_NANOS);
			waiting.observe(deployment, jobs, System.nanoTime() + WATCH_NANOS);
			for (String job : jobs) {
				String state = client.state("/runs/", job);
				if (!state.equals("completed")) {
					String text = job + " is " + state + ": of its " + deployment.history.startsOf(job) + " runs "
							+ deployment.history.endsOf(job, "done") + " have ended done and "
							+ deployment.history.endsOf(job, "stopped") + " were stopped; for "
							+ waiting.longestIdleMillis(job) + " ms on end nothing of it ran, with all workers free";
					deployment.history.log(text);
					if (waiting.longestIdleMillis(job) > WAIT_MILLIS) {
						breaks.add("LOST " + text);
					}
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

	// Two of the six workers are of kind "b".
	private static String kind(int number) {
		return (number == JOBS / 2) ? "b" : "a";
	}

	private static Plan plan(int number, int millis) {
		String id = (number == JOBS / 2) ? LONG_JOB : String.format("00c0ffee000002%02x", number);
		String body = "{\"spec\":\"run " + id + "\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":1800,\"mem_mb\":3200,"
				+ "\"estimate_ms\":" + TASK_MILLIS + ",\"constraints\":\"" + kind(number) + "\"}]}";
		return new Plan(id, body, List.of(millis), false, false);
	}

}
