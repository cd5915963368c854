package org.crocuspost.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.crocuspost.standin.endpoint.EndpointFault;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the response that a caller gets when its endpoint fails, against the requests
 * that the endpoint recorded.
 */
class EndpointFaultTests {

	private static final String DEADLINE = "Crocuspost-Deadline-Milliseconds";

	static Stream<FaultCase> cases() {
		return Stream.of(
				new FaultCase("the endpoint refuses the connection", EndpointStandIn::close, 503, "not-run",
						"endpoint-refused", 0),
				fault(EndpointFault.NONE, 200, "ran", "", 1), fault(EndpointFault.ERROR, 500, "ran", "", 1),
				fault(EndpointFault.RESET_BEFORE, 502, "may-have-run", "connection-lost", 0),
				fault(EndpointFault.RESET_DURING, 502, "may-have-run", "connection-lost", 1),
				fault(EndpointFault.RESET_AFTER, 200, "ran", "", 1),
				fault(EndpointFault.TRUNCATED, 502, "may-have-run", "connection-lost", 1),
				fault(EndpointFault.CROSSED, 502, "may-have-run", "answer-mismatched", 1),
				fault(EndpointFault.SILENT, 504, "may-have-run", "deadline-after-start", 1),
				new FaultCase("the endpoint responds after the deadline",
						(endpoint) -> endpoint.setServiceTime(Duration.ofMillis(1500)), 504, "may-have-run",
						"deadline-after-start", 1));
	}

	private static FaultCase fault(EndpointFault fault, int status, String verdict, String code, int runs) {
		return new FaultCase("endpoint fault " + fault, (endpoint) -> endpoint.setFault(fault), status, verdict, code,
				runs);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("cases")
	void nonIdempotentRequestGetsTheVerdictThatMatchesTheFault(FaultCase faultCase) throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			path.agent("agent-1", endpoint, entry);
			faultCase.arrange().accept(endpoint);
			HttpResponse<String> response = RequestPathFixture.get(path.send(entry, "POST", "body", DEADLINE, "1000"));
			assertThat(response.statusCode()).isEqualTo(faultCase.status());
			assertThat(response.headers().firstValue("Crocuspost-Verdict")).contains(faultCase.verdict());
			if (!faultCase.code().isEmpty()) {
				assertThat(response.body()).contains("\"code\":\"" + faultCase.code() + "\"");
			}
			assertThat(endpoint.executedRequests()).hasSize(faultCase.runs());
		}
	}

	static Stream<FaultCase> casesOtherThanSilence() {
		return cases().filter((faultCase) -> !faultCase.description().equals(silence().description()));
	}

	private static FaultCase silence() {
		return cases().filter((faultCase) -> faultCase.description().endsWith(EndpointFault.SILENT.toString()))
			.findFirst()
			.orElseThrow();
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("casesOtherThanSilence")
	void idempotentRequestIsRetriedAtAnotherEndpoint(FaultCase faultCase) throws Exception {
		assertThatIdempotentRequestsAreRetried(faultCase);
	}

	/**
	 * Guards against an idempotent request that waits for a silent endpoint until its
	 * deadline although another endpoint could answer it.
	 */
	@Test
	@Tag("known-red")
	void idempotentRequestIsRetriedAfterSilence() throws Exception {
		assertThatIdempotentRequestsAreRetried(silence());
	}

	private static void assertThatIdempotentRequestsAreRetried(FaultCase faultCase) throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn faulty = path.endpoint();
			EndpointStandIn healthy = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			path.agent("agent-1", faulty, entry);
			path.agent("agent-2", healthy, entry);
			faultCase.arrange().accept(faulty);
			for (int count = 0; count < 4; count++) {
				HttpResponse<String> response = RequestPathFixture.get(path.send(entry, "GET", "", DEADLINE, "4000"));
				boolean hasOwnResponse = faultCase.code().isEmpty();
				assertThat(response.statusCode())
					.isIn(hasOwnResponse ? List.of(200, faultCase.status()) : List.of(200));
				assertThat(response.headers().firstValue("Crocuspost-Verdict")).contains("ran");
			}
		}
	}

	/**
	 * Guards against a refusal with the verdict "not run" of a request that has run: an
	 * earlier attempt ran and lost its connection, and the last attempt was refused.
	 */
	@Test
	void requestWithAnAttemptThatRanIsNotReportedAsNotRun() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn resetting = path.endpoint();
			EndpointStandIn refusing = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			path.agent("agent-1", resetting, entry);
			path.agent("agent-2", refusing, entry);
			resetting.setFault(EndpointFault.RESET_DURING);
			refusing.close();
			int refused = 0;
			for (int count = 0; count < 12; count++) {
				int runs = resetting.executedRequests().size();
				HttpResponse<String> response = RequestPathFixture.get(path.send(entry, "GET", "", DEADLINE, "4000"));
				boolean notRun = response.headers().firstValue("Crocuspost-Verdict").orElseThrow().equals("not-run");
				refused += notRun ? 1 : 0;
				assertThat(notRun && resetting.executedRequests().size() > runs).as("request " + count).isFalse();
			}
			assertThat(resetting.executedRequests()).isNotEmpty();
			assertThat(refused).isLessThan(12);
		}
	}

	@Test
	void lateResponseIsNotTakenForTheResponseToTheNextRequest() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			path.agent("agent-1", endpoint, entry);
			endpoint.setServiceTime(Duration.ofMillis(300));
			RequestPathFixture.get(path.send(entry, "POST", "first", DEADLINE, "100"));
			endpoint.setServiceTime(Duration.ZERO);
			for (int count = 0; count < 20; count++) {
				String body = "later " + count;
				assertThat(RequestPathFixture.get(path.send(entry, "POST", body)).body()).isEqualTo(body);
			}
			path.await(() -> endpoint.running() == 0);
			assertThat(RequestPathFixture.get(path.send(entry, "POST", "last")).body()).isEqualTo("last");
		}
	}

	@Test
	void unresponsiveEndpointConnectionsAreAbandonedAfterTheFirstDeadline() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			path.agent("agent-1", endpoint, entry);
			RequestPathFixture.get(path.send(entry, "POST", "opens a connection"));
			endpoint.stallOpenConnections();
			HttpResponse<String> lost = RequestPathFixture.get(path.send(entry, "POST", "lost", DEADLINE, "200"));
			HttpResponse<String> next = RequestPathFixture.get(path.send(entry, "POST", "next", DEADLINE, "4000"));
			assertThat(lost.headers().firstValue("Crocuspost-Verdict")).contains("may-have-run");
			assertThat(next.body()).isEqualTo("next");
		}
	}

	record FaultCase(String description, Consumer<EndpointStandIn> arrange, int status, String verdict, String code,
			int runs) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
