package org.crocuspost.entry;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.standin.endpoint.LedgerEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are not idempotent, each with a body of its own, and the comparison of
 * what their callers were told with the ledgers of the endpoints.
 */
final class PostLoad {

	private final RequestPathFixture path;

	private final List<Sent> sent = new ArrayList<>();

	PostLoad(RequestPathFixture path) {
		this.path = path;
	}

	void send(LoopbackEntry entry, int count, String... headers) {
		for (int index = 0; index < count; index++) {
			String body = "request " + this.sent.size();
			this.sent.add(new Sent(body, this.path.send(entry, "POST", body, headers)));
		}
	}

	void awaitAnswers() {
		this.sent.forEach((request) -> RequestPathFixture.get(request.response()));
	}

	Map<String, Long> verdicts() {
		return this.sent.stream().collect(Collectors.groupingBy(Sent::verdict, Collectors.counting()));
	}

	long answeredOk() {
		return this.sent.stream().filter((request) -> request.answer().statusCode() == 200).count();
	}

	void assertTruth(List<EndpointStandIn> endpoints) {
		Map<String, Long> runs = endpoints.stream()
			.flatMap((endpoint) -> endpoint.ledger().stream())
			.map(LedgerEntry::body)
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		for (Sent request : this.sent) {
			long count = runs.getOrDefault(request.body(), 0L);
			switch (request.verdict()) {
				case "ran" -> assertThat(count).as(request.body()).isEqualTo(1);
				case "not-run" -> assertThat(count).as(request.body()).isZero();
				default -> assertThat(count).as(request.body()).isLessThanOrEqualTo(1);
			}
			if (request.answer().statusCode() == 200) {
				assertThat(request.answer().body()).isEqualTo(request.body());
			}
		}
	}

	private record Sent(String body, CompletableFuture<HttpResponse<String>> response) {

		private HttpResponse<String> answer() {
			return RequestPathFixture.get(this.response);
		}

		private String verdict() {
			return answer().headers().firstValue("Crocuspost-Verdict").orElse("none");
		}

	}

}
