package org.crocuspost.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests that are in flight when the connection between entry and agent ends or
 * stops carrying data.
 */
class LostConnectionTests {

	private static final String VERDICT = "Crocuspost-Verdict";

	@Test
	void requestSentOnAnUnresponsiveConnectionRunsOnceOverTheNextOne() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			BlackholeRelay relay = path.relay(entry.peerAddress());
			path.agent("agent-1", endpoint, relay, entry);
			relay.blackholeOpenConnections();
			HttpResponse<String> response = RequestPathFixture.get(path.send(entry, "POST", "once"));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.headers().firstValue(VERDICT)).contains("ran");
			assertThat(endpoint.executedRequests()).hasSize(1);
		}
	}

	@Test
	void responseLostOnAnUnresponsiveConnectionIsFetchedOverTheNextOne() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			endpoint.setServiceTime(Duration.ofMillis(300));
			LoopbackEntry entry = path.entry("entry-1");
			BlackholeRelay relay = path.relay(entry.peerAddress());
			path.agent("agent-1", endpoint, relay, entry);
			CompletableFuture<HttpResponse<String>> pending = path.send(entry, "POST", "once");
			path.await(() -> endpoint.running() == 1);
			relay.blackholeOpenConnections();
			HttpResponse<String> response = RequestPathFixture.get(pending);
			assertThat(response.body()).isEqualTo("once");
			assertThat(response.headers().firstValue(VERDICT)).contains("ran");
			assertThat(endpoint.executedRequests()).hasSize(1);
		}
	}

	@Test
	void requestStillRunningAfterReconnectIsAwaited() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			endpoint.setServiceTime(Duration.ofMillis(3500));
			LoopbackEntry entry = path.entry("entry-1");
			BlackholeRelay relay = path.relay(entry.peerAddress());
			path.agent("agent-1", endpoint, relay, entry);
			CompletableFuture<HttpResponse<String>> pending = path.send(entry, "POST", "once");
			path.await(() -> endpoint.running() == 1);
			relay.blackholeOpenConnections();
			HttpResponse<String> response = RequestPathFixture.get(pending);
			assertThat(response.body()).isEqualTo("once");
			assertThat(endpoint.executedRequests()).hasSize(1);
		}
	}

	@Test
	void unresponsiveConnectionPastTheDeadlineIsReportedAsMayHaveRun() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			BlackholeRelay relay = path.relay(entry.peerAddress());
			path.agent("agent-1", endpoint, relay, entry);
			relay.blackholeOpenConnections();
			HttpResponse<String> response = RequestPathFixture
				.get(path.send(entry, "POST", "once", "Crocuspost-Deadline-Milliseconds", "300"));
			assertThat(response.statusCode()).isEqualTo(504);
			assertThat(response.headers().firstValue(VERDICT)).contains("may-have-run");
		}
	}

	@Test
	void requestInAnAgentThatDiesIsReportedAsMayHaveRun() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			endpoint.setServiceTime(Duration.ofMillis(500));
			EndpointStandIn other = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			LoopbackAgent agent = path.agent("agent-1", endpoint, entry);
			CompletableFuture<HttpResponse<String>> pending = path.send(entry, "POST", "once",
					"Crocuspost-Deadline-Milliseconds", "2000");
			path.await(() -> endpoint.running() == 1);
			path.agent("agent-2", other, entry);
			agent.kill();
			HttpResponse<String> response = RequestPathFixture.get(pending);
			assertThat(response.headers().firstValue(VERDICT)).contains("may-have-run");
			assertThat(endpoint.executedRequests()).hasSize(1);
			assertThat(other.executedRequests()).isEmpty();
		}
	}

	@Test
	void requestOfAnEarlierAgentIncarnationIsReportedAsMayHaveRun() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			endpoint.setServiceTime(Duration.ofSeconds(1));
			LoopbackEntry entry = path.entry("entry-1");
			LoopbackAgent agent = path.agent("agent-1", endpoint, entry);
			CompletableFuture<HttpResponse<String>> pending = path.send(entry, "POST", "once");
			path.await(() -> endpoint.running() == 1);
			agent.kill();
			path.await(() -> !entry.hasEndpoint("agent-1"));
			path.agent("agent-1", endpoint, entry);
			HttpResponse<String> response = RequestPathFixture.get(pending);
			assertThat(response.statusCode()).isEqualTo(502);
			assertThat(response.headers().firstValue(VERDICT)).contains("may-have-run");
			assertThat(endpoint.executedRequests()).hasSize(1);
		}
	}

}
