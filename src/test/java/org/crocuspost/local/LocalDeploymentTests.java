package org.crocuspost.local;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.settings.DeploymentSettings;
import org.crocuspost.settings.SettingsFile;
import org.crocuspost.standin.endpoint.ExecutedRequest;
import org.crocuspost.standin.worker.RunRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LocalDeploymentTests {

	private static final Duration WAIT_LIMIT = Duration.ofSeconds(40);

	private static final Duration POLL = Duration.ofMillis(20);

	private static final String NOTE = """
			{ "id": "first", "basedOn": 0, "added": {
			  "services": { "lunchwallet": {
			    "match": { "host": "*", "pathPrefix": "/cards" },
			    "objective": { "latency": "PT0.25S", "latencyQuantile": 0.99, "availability": 0.999 },
			    "priority": 0, "timeout": "PT5S", "idempotentMethods": ["GET", "HEAD"] } },
			  "jobs": { "statement-run": {
			    "team": "finance", "count": 3, "size": { "milliCores": 500, "memoryMebibytes": 256 },
			    "runTime": "PT1S", "priority": 5, "checkpointed": true, "spread": "rack" } },
			  "quotas": { "finance": { "milliCores": 16000, "memoryMebibytes": 32000 } } } }
			""";

	private final DeploymentSettings settings = SettingsFile.deployment(Path.of("examples/sappaya/deployment.json"))
		.get();

	private final LocalDeployment deployment = new LocalDeployment(this.settings);

	@AfterEach
	void stop() {
		this.deployment.stop();
	}

	@Test
	void requestIsAnsweredAndTasksSucceedAndDomainLeavesAndReturnsToService() throws Exception {
		submit(NOTE);
		await(() -> topUp().headers().firstValue("Crocuspost-Verdict").orElse("").equals("ran"));
		assertThat(ledger()).isNotEmpty().allMatch((entry) -> entry.target().equals("/cards/7/top-ups"));

		await(() -> records().stream().filter((record) -> record.phase() == Phase.SUCCEEDED).count() == 3);
		assertThat(records()).hasSize(3);

		submit("""
				{ "id": "out", "basedOn": 1, "domains": { "out": ["bkk-b"] } }
				""");
		await(() -> this.deployment.entries().get(0).configuration().current().domainsOut().contains("bkk-b"));
		submit("""
				{ "id": "back", "basedOn": 2, "domains": { "back": ["bkk-b"] } }
				""");
		await(() -> this.deployment.entries().get(1).configuration().current().version() == 3);
		assertThat(topUp().statusCode()).isEqualTo(200);
	}

	private void submit(String note) throws Exception {
		InetSocketAddress address = this.deployment.entries().get(0).operatorAddress();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/notes"))
			.header("Authorization", "Bearer " + this.settings.operatorToken().reveal())
			.POST(HttpRequest.BodyPublishers.ofString(note))
			.build();
		assertThat(HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).statusCode())
			.isEqualTo(200);
	}

	private HttpResponse<String> topUp() {
		InetSocketAddress address = this.deployment.entries().get(0).callerAddress();
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/cards/7/top-ups"))
			.POST(HttpRequest.BodyPublishers.ofString("50 baht"))
			.build();
		try {
			return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private List<ExecutedRequest> ledger() {
		return this.deployment.workers()
			.stream()
			.flatMap((worker) -> worker.endpoint().executedRequests().stream())
			.toList();
	}

	private List<RunRecord> records() {
		return this.deployment.workers().stream().flatMap((worker) -> worker.runtime().history().stream()).toList();
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + WAIT_LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("the condition holds in time").isLessThan(end);
			new CountDownLatch(1).await(POLL.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

}
