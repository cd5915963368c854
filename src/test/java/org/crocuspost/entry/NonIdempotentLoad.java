package org.crocuspost.entry;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.standin.endpoint.ExecutedRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests that are not idempotent, each with a unique body, and compares the
 * verdicts that their callers received with the requests that the endpoints recorded.
 */
final class NonIdempotentLoad {

	private final RequestPathFixture path;

	private final List<SentRequest> sent = new ArrayList<>();

	NonIdempotentLoad(RequestPathFixture path) {
		this.path = path;
	}

	void send(LoopbackEntry entry, int count, String... headers) {
		for (int index = 0; index < count; index++) {
			String body = "request " + this.sent.size();
			this.sent.add(new SentRequest(body, this.path.send(entry, "POST", body, headers)));
		}
	}

	void awaitResponses() {
		this.sent.forEach((request) -> RequestPathFixture.get(request.response()));
	}

	Map<String, Long> countByVerdict() {
		return this.sent.stream().collect(Collectors.groupingBy(SentRequest::verdict, Collectors.counting()));
	}

	long okCount() {
		return this.sent.stream().filter((request) -> request.awaitResponse().statusCode() == 200).count();
	}

	void assertVerdictsMatchEndpoints(List<EndpointStandIn> endpoints) {
		Map<String, Long> runsByBody = endpoints.stream()
			.flatMap((endpoint) -> endpoint.executedRequests().stream())
			.map(ExecutedRequest::body)
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		for (SentRequest request : this.sent) {
			long count = runsByBody.getOrDefault(request.body(), 0L);
			switch (request.verdict()) {
				case "ran" -> assertThat(count).as(request.body()).isEqualTo(1);
				case "not-run" -> assertThat(count).as(request.body()).isZero();
				default -> assertThat(count).as(request.body()).isLessThanOrEqualTo(1);
			}
			if (request.awaitResponse().statusCode() == 200) {
				assertThat(request.awaitResponse().body()).isEqualTo(request.body());
			}
		}
	}

	private record SentRequest(String body, CompletableFuture<HttpResponse<String>> response) {

		private HttpResponse<String> awaitResponse() {
			return RequestPathFixture.get(this.response);
		}

		private String verdict() {
			return awaitResponse().headers().firstValue("Crocuspost-Verdict").orElse("none");
		}

	}

}
