package org.crocuspost.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller's retry with the same idempotency key through another entry.
 */
class IdempotencyKeyTests {

	private static final String KEY = "Idempotency-Key";

	private static final String VERDICT = "Crocuspost-Verdict";

	@Test
	void aRetryGetsTheAnswerOfTheFirstTry() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 2);
			HttpResponse<String> first = RequestPathFixture.get(path.send(scene.one, "POST", "once", KEY, "k1"));
			HttpResponse<String> retry = RequestPathFixture.get(path.send(scene.other, "POST", "once", KEY, "k1"));
			assertThat(first.body()).isEqualTo("once");
			assertThat(retry.body()).isEqualTo("once");
			assertThat(retry.headers().firstValue(VERDICT)).contains("ran");
			assertThat(scene.runs()).isEqualTo(1);
		}
	}

	@Test
	void aRetryDuringTheFirstTryWaitsForIt() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 2);
			scene.setServiceTime(Duration.ofMillis(500));
			CompletableFuture<HttpResponse<String>> first = path.send(scene.one, "POST", "once", KEY, "k1");
			path.await(() -> scene.runs() == 1);
			HttpResponse<String> retry = RequestPathFixture.get(path.send(scene.other, "POST", "once", KEY, "k1"));
			assertThat(retry.body()).isEqualTo("once");
			assertThat(RequestPathFixture.get(first).body()).isEqualTo("once");
			assertThat(scene.runs()).isEqualTo(1);
		}
	}

	@Test
	void aRetryAfterItsEntryWasKilledGetsTheAnswer() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 2);
			scene.setServiceTime(Duration.ofMillis(500));
			path.send(scene.one, "POST", "once", KEY, "k1");
			path.await(() -> scene.runs() == 1);
			scene.one.close();
			HttpResponse<String> retry = RequestPathFixture.get(path.send(scene.other, "POST", "once", KEY, "k1"));
			assertThat(retry.body()).isEqualTo("once");
			assertThat(scene.runs()).isEqualTo(1);
		}
	}

	@Test
	void aRetryPastTheDeadlineOfTheFirstTryGetsTheLateAnswer() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 2);
			scene.setServiceTime(Duration.ofMillis(600));
			HttpResponse<String> first = RequestPathFixture
				.get(path.send(scene.one, "POST", "once", KEY, "k1", "Crocuspost-Deadline-Milliseconds", "200"));
			HttpResponse<String> retry = RequestPathFixture.get(path.send(scene.other, "POST", "once", KEY, "k1"));
			assertThat(first.headers().firstValue(VERDICT)).contains("may-have-run");
			assertThat(retry.body()).isEqualTo("once");
			assertThat(scene.runs()).isEqualTo(1);
		}
	}

	@Test
	void aKeyWithAnotherBodyIsRefused() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 2);
			RequestPathFixture.get(path.send(scene.one, "POST", "once", KEY, "k1"));
			HttpResponse<String> reused = RequestPathFixture.get(path.send(scene.other, "POST", "other", KEY, "k1"));
			assertThat(reused.statusCode()).isEqualTo(422);
			assertThat(reused.headers().firstValue(VERDICT)).contains("not-run");
			assertThat(scene.runs()).isEqualTo(1);
		}
	}

	@Test
	void aRetryIsUncertainWhenAllAgentsThatKnewItsKeyHaveDied() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 2);
			RequestPathFixture.get(path.send(scene.one, "POST", "once", KEY, "k1"));
			scene.replaceAgents(path);
			HttpResponse<String> retry = RequestPathFixture.get(path.send(scene.other, "POST", "once", KEY, "k1"));
			assertThat(retry.statusCode()).isEqualTo(409);
			assertThat(retry.headers().firstValue(VERDICT)).contains("may-have-run");
			assertThat(scene.runs()).isEqualTo(1);
		}
	}

	@Test
	void manyTriesAtTheSameTimeRunOnce() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			TwoEntries scene = new TwoEntries(path, 4);
			scene.setServiceTime(Duration.ofMillis(20));
			for (int round = 0; round < 20; round++) {
				String key = "k" + round;
				CompletableFuture<HttpResponse<String>> one = path.send(scene.one, "POST", key, KEY, key);
				CompletableFuture<HttpResponse<String>> other = path.send(scene.other, "POST", key, KEY, key);
				RequestPathFixture.get(one);
				RequestPathFixture.get(other);
				assertThat(scene.runs(key)).isLessThanOrEqualTo(1);
			}
		}
	}

	private static final class TwoEntries {

		private final LoopbackEntry one;

		private final LoopbackEntry other;

		private final java.util.List<EndpointStandIn> endpoints = new java.util.ArrayList<>();

		private final java.util.List<LoopbackAgent> agents = new java.util.ArrayList<>();

		private TwoEntries(RequestPathFixture path, int agentCount) {
			this.one = path.entry("entry-1");
			this.other = path.entry("entry-2");
			for (int index = 0; index < agentCount; index++) {
				EndpointStandIn endpoint = path.endpoint();
				this.endpoints.add(endpoint);
				this.agents.add(path.agent("agent-" + index, "bkk-" + index, endpoint, this.one, this.other));
			}
		}

		private void replaceAgents(RequestPathFixture path) {
			this.agents.forEach(LoopbackAgent::kill);
			path.await(() -> !this.one.knows("agent-0") && !this.other.knows("agent-1"));
			path.await(() -> !this.one.knows("agent-1") && !this.other.knows("agent-0"));
			for (int index = 0; index < this.endpoints.size(); index++) {
				path.agent("agent-" + index, "bkk-" + index, this.endpoints.get(index), this.one, this.other);
			}
		}

		private void setServiceTime(Duration time) {
			this.endpoints.forEach((endpoint) -> endpoint.setServiceTime(time));
		}

		private int runs() {
			return this.endpoints.stream().mapToInt((endpoint) -> endpoint.ledger().size()).sum();
		}

		private long runs(String body) {
			return this.endpoints.stream()
				.flatMap((endpoint) -> endpoint.ledger().stream())
				.filter((run) -> run.body().equals(body))
				.count();
		}

	}

}
