package org.crocuspost.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a caller's retry with the same idempotency key through another entry.
 */
class IdempotencyKeyTests {

	private static final String KEY = "Idempotency-Key";

	private static final String VERDICT = "Crocuspost-Verdict";

	@Test
	void retryGetsTheResponseOfTheFirstAttempt() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 2);
			HttpResponse<String> first = RequestPathFixture
				.get(path.send(cluster.firstEntry, "POST", "once", KEY, "k1"));
			HttpResponse<String> retry = RequestPathFixture
				.get(path.send(cluster.secondEntry, "POST", "once", KEY, "k1"));
			assertThat(first.body()).isEqualTo("once");
			assertThat(retry.body()).isEqualTo("once");
			assertThat(retry.headers().firstValue(VERDICT)).contains("ran");
			assertThat(cluster.runs()).isEqualTo(1);
		}
	}

	@Test
	void retryDuringTheFirstAttemptWaitsForIt() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 2);
			cluster.setServiceTime(Duration.ofMillis(500));
			CompletableFuture<HttpResponse<String>> first = path.send(cluster.firstEntry, "POST", "once", KEY, "k1");
			path.await(() -> cluster.runs() == 1);
			HttpResponse<String> retry = RequestPathFixture
				.get(path.send(cluster.secondEntry, "POST", "once", KEY, "k1"));
			assertThat(retry.body()).isEqualTo("once");
			assertThat(RequestPathFixture.get(first).body()).isEqualTo("once");
			assertThat(cluster.runs()).isEqualTo(1);
		}
	}

	@Test
	void retryAfterTheFirstEntryWasKilledGetsTheResponse() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 2);
			cluster.setServiceTime(Duration.ofMillis(500));
			path.send(cluster.firstEntry, "POST", "once", KEY, "k1");
			path.await(() -> cluster.runs() == 1);
			cluster.firstEntry.close();
			HttpResponse<String> retry = RequestPathFixture
				.get(path.send(cluster.secondEntry, "POST", "once", KEY, "k1"));
			assertThat(retry.body()).isEqualTo("once");
			assertThat(cluster.runs()).isEqualTo(1);
		}
	}

	@Test
	void retryAfterTheDeadlineOfTheFirstAttemptGetsTheLateResponse() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 2);
			cluster.setServiceTime(Duration.ofMillis(600));
			HttpResponse<String> first = RequestPathFixture.get(path.send(cluster.firstEntry, "POST", "once", KEY, "k1",
					"Crocuspost-Deadline-Milliseconds", "200"));
			HttpResponse<String> retry = RequestPathFixture
				.get(path.send(cluster.secondEntry, "POST", "once", KEY, "k1"));
			assertThat(first.headers().firstValue(VERDICT)).contains("may-have-run");
			assertThat(retry.body()).isEqualTo("once");
			assertThat(cluster.runs()).isEqualTo(1);
		}
	}

	@Test
	void keyReusedWithAnotherBodyIsRefused() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 2);
			RequestPathFixture.get(path.send(cluster.firstEntry, "POST", "once", KEY, "k1"));
			HttpResponse<String> reused = RequestPathFixture
				.get(path.send(cluster.secondEntry, "POST", "other", KEY, "k1"));
			assertThat(reused.statusCode()).isEqualTo(422);
			assertThat(reused.headers().firstValue(VERDICT)).contains("not-run");
			assertThat(cluster.runs()).isEqualTo(1);
		}
	}

	@Test
	void retryMayHaveRunWhenAllAgentsThatStoredItsKeyHaveDied() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 2);
			RequestPathFixture.get(path.send(cluster.firstEntry, "POST", "once", KEY, "k1"));
			cluster.replaceAgents(path);
			HttpResponse<String> retry = RequestPathFixture
				.get(path.send(cluster.secondEntry, "POST", "once", KEY, "k1"));
			assertThat(retry.statusCode()).isEqualTo(409);
			assertThat(retry.headers().firstValue(VERDICT)).contains("may-have-run");
			assertThat(cluster.runs()).isEqualTo(1);
		}
	}

	@Test
	void concurrentAttemptsRunAtMostOnce() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntryCluster cluster = new TwoEntryCluster(path, 4);
			cluster.setServiceTime(Duration.ofMillis(20));
			for (int round = 0; round < 20; round++) {
				String key = "k" + round;
				CompletableFuture<HttpResponse<String>> first = path.send(cluster.firstEntry, "POST", key, KEY, key);
				CompletableFuture<HttpResponse<String>> second = path.send(cluster.secondEntry, "POST", key, KEY, key);
				RequestPathFixture.get(first);
				RequestPathFixture.get(second);
				assertThat(cluster.runs(key)).isLessThanOrEqualTo(1);
			}
		}
	}

	private static final class TwoEntryCluster {

		private final LoopbackEntry firstEntry;

		private final LoopbackEntry secondEntry;

		private final java.util.List<EndpointStandIn> endpoints = new java.util.ArrayList<>();

		private final java.util.List<LoopbackAgent> agents = new java.util.ArrayList<>();

		private TwoEntryCluster(RequestPathFixture path, int agentCount) {
			this.firstEntry = path.entry("entry-1");
			this.secondEntry = path.entry("entry-2");
			for (int index = 0; index < agentCount; index++) {
				EndpointStandIn endpoint = path.endpoint();
				this.endpoints.add(endpoint);
				this.agents
					.add(path.agent("agent-" + index, "bkk-" + index, endpoint, this.firstEntry, this.secondEntry));
			}
		}

		private void replaceAgents(RequestPathFixture path) {
			this.agents.forEach(LoopbackAgent::kill);
			path.await(() -> !this.firstEntry.hasEndpoint("agent-0") && !this.secondEntry.hasEndpoint("agent-1"));
			path.await(() -> !this.firstEntry.hasEndpoint("agent-1") && !this.secondEntry.hasEndpoint("agent-0"));
			for (int index = 0; index < this.endpoints.size(); index++) {
				path.agent("agent-" + index, "bkk-" + index, this.endpoints.get(index), this.firstEntry,
						this.secondEntry);
			}
		}

		private void setServiceTime(Duration time) {
			this.endpoints.forEach((endpoint) -> endpoint.setServiceTime(time));
		}

		private int runs() {
			return this.endpoints.stream().mapToInt((endpoint) -> endpoint.executedRequests().size()).sum();
		}

		private long runs(String body) {
			return this.endpoints.stream()
				.flatMap((endpoint) -> endpoint.executedRequests().stream())
				.filter((run) -> run.body().equals(body))
				.count();
		}

	}

}
