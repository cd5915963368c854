import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for the clients. After no answer, a 502, 503 or 504 it sends a job again under
 * the same ID to the next entry, at most four times.
 */
final class Client implements AutoCloseable {

	private static final int RETRIES = 4;

	private final Deployment deployment;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofMillis(500))
		.build();

	private final AtomicInteger next = new AtomicInteger();

	/** Accepted jobs with the path by which they were submitted. */
	final Map<String, String> accepted = new ConcurrentHashMap<>();

	Client(Deployment deployment) {
		this.deployment = deployment;
		// The stand-in names the host of the queue, as callers of the platform do.
	}

	void submitLater(String prefix, Plan plan) {
		this.executor.execute(() -> submit(prefix, plan));
	}

	boolean submit(String prefix, Plan plan) {
		this.deployment.history.plan(plan);
		for (int attempt = 0; attempt <= RETRIES; attempt++) {
			int status = call("POST", prefix + plan.id(), plan.body());
			if (status >= 200 && status < 300) {
				this.accepted.put(plan.id(), prefix);
				return true;
			}
			sleep((status == 503) ? 1_000 : 100);
		}
		return false;
	}

	/** Returns the status of the answer; 0 if there is none. */
	int call(String method, String path, String body) {
		HttpResponse<String> answer = exchange(method, path, body);
		return (answer != null) ? answer.statusCode() : 0;
	}

	/** Returns the state of a job, or the status of the answer if it names none. */
	String state(String prefix, String id) {
		HttpResponse<String> answer = exchange("GET", prefix + id, "");
		if (answer == null) {
			return "no answer";
		}
		String state = "";
		try {
			state = Store.JSON.readTree(answer.body()).path("state").asText();
		}
		catch (Exception ex) {
			// The status says enough.
		}
		return state.isEmpty() ? String.valueOf(answer.statusCode()) : state;
	}

	private HttpResponse<String> exchange(String method, String path, String body) {
		List<String> entries = this.deployment.entries;
		String entry = entries.get(Math.floorMod(this.next.getAndIncrement(), entries.size()));
		HttpRequest request = HttpRequest.newBuilder(URI.create(this.deployment.frontend(entry) + path))
			.header("Host", "desk.example")
			.header("Content-Type", "application/json")
			.header("X-Crocuspost-Time-Remaining", "3000")
			.timeout(Duration.ofMillis(3_000))
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			HttpResponse<String> answer = this.http.send(request, HttpResponse.BodyHandlers.ofString());
			this.deployment.history
				.log("client " + method + " " + path + " at " + entry + " -> " + answer.statusCode() + " "
						+ answer.body());
			return answer;
		}
		catch (Exception ex) {
			this.deployment.history.log("client " + method + " " + path + " at " + entry + " -> no answer ("
					+ ex.getClass().getSimpleName() + ")");
			return null;
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
