package org.crocuspost.distribution;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.crocuspost.json.Json;
import org.crocuspost.local.LocalDeployment;
import org.crocuspost.local.LocalWorker;
import org.crocuspost.release.NoteTexts;
import org.crocuspost.settings.DeploymentSettings;
import org.crocuspost.settings.SettingsFile;
import org.crocuspost.standin.endpoint.ExecutedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WithdrawalUnderLoadTests {

	private static final Duration WAIT_LIMIT = Duration.ofSeconds(60);

	private static final int CALLERS = 4;

	private static final int CALLS_PER_PHASE = 100;

	private final DeploymentSettings settings = SettingsFile.deployment(Path.of("examples/sappaya/deployment.json"))
		.get();

	private final LocalDeployment deployment = new LocalDeployment(this.settings);

	private final HttpClient client = HttpClient.newHttpClient();

	private final List<Call> calls = Collections.synchronizedList(new ArrayList<>());

	private final AtomicInteger markers = new AtomicInteger();

	private final List<Thread> callers = new ArrayList<>();

	private volatile boolean keepCalling = true;

	@BeforeEach
	void startLoad() throws Exception {
		String service = NoteTexts.service("cards").replace("PT1S", "PT20S");
		submit(NoteTexts.note("first", 0, "\"added\": {\"services\": {\"lunchwallet\": " + service + "}}"));
		await(() -> call("warm-up").status() == 200);
		for (int index = 0; index < CALLERS; index++) {
			Thread caller = new Thread(this::callRepeatedly);
			caller.start();
			this.callers.add(caller);
		}
		awaitCalls(CALLS_PER_PHASE);
	}

	@AfterEach
	void stop() throws InterruptedException {
		stopLoad();
		this.deployment.stop();
	}

	@Test
	void withdrawnEndpointGetsNoNewWorkAndNoRequestFails() throws Exception {
		LocalWorker withdrawn = this.deployment.workers().get(0);
		submit(NoteTexts.note("second", 1,
				"\"withdrawn\": {\"endpoints\": [\"" + withdrawn.host().endpoint().id() + "\"]}"));
		awaitInForce("second");
		await(() -> withdrawn.endpoint().running() == 0);
		int servedBefore = withdrawn.endpoint().executedRequests().size();
		awaitCalls(this.calls.size() + CALLS_PER_PHASE);
		stopLoad();
		assertThat(withdrawn.endpoint().executedRequests()).hasSize(servedBefore);
		assertThat(this.calls).allMatch((call) -> call.status() == 200);
		assertThat(executedMarkers()).doesNotHaveDuplicates()
			.containsAll(this.calls.stream().map(Call::marker).toList());
	}

	@Test
	void withdrawnServiceAnswersNotRunAndNoRequestIsAborted() throws Exception {
		submit(NoteTexts.note("second", 1, "\"withdrawn\": {\"services\": [\"lunchwallet\"]}"));
		awaitInForce("second");
		int startedBefore = this.markers.get();
		awaitCalls(this.calls.size() + CALLS_PER_PHASE);
		stopLoad();
		assertThat(this.calls.stream().filter((call) -> callNumber(call) > startedBefore)).isNotEmpty()
			.allMatch((call) -> call.status() == 404);
		assertThat(this.calls).allMatch((call) -> call.status() == 200 || call.verdict().equals("not-run"));
		List<String> answered = this.calls.stream().filter((call) -> call.status() == 200).map(Call::marker).toList();
		assertThat(executedMarkers()).doesNotHaveDuplicates();
		assertThat(executedMarkers()).filteredOn((marker) -> !marker.equals("warm-up"))
			.containsExactlyInAnyOrderElementsOf(answered);
	}

	private static int callNumber(Call call) {
		return Integer.parseInt(call.marker().substring("call-".length()));
	}

	private void callRepeatedly() {
		while (this.keepCalling) {
			this.calls.add(call("call-" + this.markers.incrementAndGet()));
		}
	}

	private void stopLoad() throws InterruptedException {
		this.keepCalling = false;
		for (Thread caller : this.callers) {
			caller.join();
		}
	}

	private Call call(String marker) {
		int port = this.deployment.entries().get(0).callerAddress().getPort();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/cards"))
			.POST(HttpRequest.BodyPublishers.ofString(marker))
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			return new Call(marker, response.statusCode(),
					response.headers().firstValue("Crocuspost-Verdict").orElse(""));
		}
		catch (IOException ex) {
			return new Call(marker, 0, "connection-failed");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Call(marker, 0, "interrupted");
		}
	}

	private void submit(String note) throws Exception {
		assertThat(operator("/notes", HttpRequest.BodyPublishers.ofString(note), "POST").statusCode()).isEqualTo(200);
	}

	private void awaitInForce(String id) throws InterruptedException {
		await(() -> {
			try {
				String body = operator("/notes/" + id, HttpRequest.BodyPublishers.noBody(), "GET").body();
				return Json.mapper().readTree(body).path("state").asText().equals("in-force");
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private HttpResponse<String> operator(String path, HttpRequest.BodyPublisher body, String method)
			throws IOException, InterruptedException {
		int port = this.deployment.entries().get(0).operatorAddress().getPort();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
			.header("Authorization", "Bearer " + this.settings.operatorToken().reveal())
			.method(method, body)
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private List<String> executedMarkers() {
		return this.deployment.workers()
			.stream()
			.flatMap((worker) -> worker.endpoint().executedRequests().stream())
			.map(ExecutedRequest::body)
			.toList();
	}

	private void awaitCalls(int count) throws InterruptedException {
		await(() -> this.calls.size() >= count);
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + WAIT_LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("condition met before the deadline").isLessThan(deadline);
			new CountDownLatch(1).await(20, TimeUnit.MILLISECONDS);
		}
	}

	private record Call(String marker, int status, String verdict) {
	}

}
