import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Workers crash one after the other and come back. Each time the worker is hit on which a
 * task of a lasting job works; the job has nothing to do with the crashes.
 */
public final class WorkerCrashes {

	private static final int WORKERS = 8;

	private static final int CRASHES = 4;

	private static final int DOWN_MILLIS = 1_000;

	private static final int WORK_MILLIS = 2_000;

	private static final String JOB = "00c0ffee00000020";

	private WorkerCrashes() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		List<String> breaks = new ArrayList<>();
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, WORKERS,
				Deployment.configuration(1, Deployment.route("r-watch", "/watch/", 0, 2, 2_500)), Long::toHexString);
				Client client = new Client(deployment)) {
			deployment.awaitReady(20);
			Client.sleep(3_000);
			String body = "{\"spec\":\"watch\",\"steps\":[{\"count\":6,\"cpu\":3200,\"mem_mb\":6400,"
					+ "\"estimate_ms\":500,\"long_running\":true,\"anti_affinity\":2}]}";
			if (!client.submit("/watch/", new Plan(JOB, body, List.of(0), true, false))) {
				throw new IllegalStateException("the job was not accepted");
			}
			Client.sleep(8_000);
			for (int crash = 0; crash < CRASHES && trouble; crash++) {
				Worker hit = awaitRun(deployment);
				Client.sleep(WORK_MILLIS);
				hit.crash();
				Client.sleep(DOWN_MILLIS);
				hit.start();
			}
			String last = "";
			for (int second = 0; second < 12; second++) {
				last = client.state("/watch/", JOB);
				Client.sleep(1_000);
			}
			long failed = deployment.history.endsOf(JOB, "failed");
			if (last.equals("failed") && failed == 0) {
				breaks.add("LOST " + JOB + ": the lasting job is shown as failed, and none of its "
						+ deployment.history.startsOf(JOB) + " runs has ended failed");
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
		System.exit(breaks.isEmpty() ? 0 : 1);
	}

	// The worker on which the first task of the job works.
	private static Worker awaitRun(Deployment deployment) {
		for (int attempt = 0; attempt < 200; attempt++) {
			for (Worker worker : deployment.workers) {
				if (worker.runsTask(JOB + ".0.0.0")) {
					return worker;
				}
			}
			Client.sleep(50);
		}
		throw new IllegalStateException("the task does not run");
	}

}
