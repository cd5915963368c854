package org.crocuspost.entry;

import java.net.http.HttpResponse;

import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestPathTests {

	@Test
	void requestReachesTheEndpointAndItsResponseIsReturned() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			EndpointStandIn endpoint = path.endpoint();
			LoopbackEntry entry = path.entry("entry-1");
			path.agent("agent-1", endpoint, entry);
			HttpResponse<String> response = RequestPathFixture
				.get(path.sendTo(entry, "/topup/1?amount=5", "POST", "five baht"));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).isEqualTo("five baht");
			assertThat(response.headers().firstValue("Crocuspost-Verdict")).contains("ran");
			String requestId = response.headers().firstValue("Crocuspost-Request").orElseThrow();
			assertThat(endpoint.executedRequests()).singleElement().satisfies((run) -> {
				assertThat(run.requestId()).isEqualTo(requestId);
				assertThat(run.target()).isEqualTo("/topup/1?amount=5");
				assertThat(run.method()).isEqualTo("POST");
			});
		}
	}

	@Test
	void requestWithoutEndpointIsRefusedAsNotRun() throws Exception {
		try (RequestPathFixture path = new RequestPathFixture()) {
			HttpResponse<String> response = RequestPathFixture.get(path.send(path.entry("entry-1"), "POST", "body"));
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.headers().firstValue("Crocuspost-Verdict")).contains("not-run");
			assertThat(response.headers().firstValue("Retry-After")).isPresent();
			assertThat(response.headers().firstValue("Content-Type")).contains("application/problem+json");
			assertThat(response.body()).contains("\"code\":\"no-endpoint\"");
		}
	}

}
