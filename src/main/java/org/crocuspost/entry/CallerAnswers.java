package org.crocuspost.entry;

import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.crocuspost.http.HttpResponse;
import org.crocuspost.http.HttpHeader;
import org.crocuspost.http.HeaderNames;
import org.crocuspost.retry.RequestOutcome;
import ratpack.http.Response;

/**
 * Writes outcomes to callers.
 */
final class CallerAnswers {

	private static final Duration SHORTEST_RETRY_AFTER = Duration.ofSeconds(1);

	private CallerAnswers() {
	}

	static void write(Response response, String requestId, RequestOutcome outcome) {
		response.getHeaders().set(HeaderNames.VERDICT, outcome.verdict().label());
		response.getHeaders().set(HeaderNames.REQUEST_ID, requestId);
		if (outcome instanceof RequestOutcome.Answered answered) {
			write(response, answered.answer());
		}
		else if (outcome instanceof RequestOutcome.NotRun notRun) {
			writeRetryAfter(response, notRun);
			write(response, Problem.of(notRun.failure(), requestId));
		}
		else if (outcome instanceof RequestOutcome.MayHaveRun mayHaveRun) {
			write(response, Problem.of(mayHaveRun.failure(), requestId));
		}
	}

	private static void write(Response response, HttpResponse answer) {
		response.status(answer.status());
		for (HttpHeader header : answer.headers()) {
			response.getHeaders().add(header.name(), header.value());
		}
		response.send(answer.body().toByteArray());
	}

	private static void write(Response response, Problem problem) {
		response.status(problem.status());
		response.getHeaders().set(HttpHeaderNames.CONTENT_TYPE, Problem.CONTENT_TYPE);
		response.send(problem.toJson().getBytes(java.nio.charset.StandardCharsets.UTF_8));
	}

	// A refusal for a reason that passes tells the caller when to come back.
	private static void writeRetryAfter(Response response, RequestOutcome.NotRun notRun) {
		int status = notRun.failure().code().status();
		if (status == 503 || status == 504) {
			Duration wait = notRun.retryAfter();
			long seconds = Math.max(SHORTEST_RETRY_AFTER.toSeconds(), wait.plusMillis(999).toSeconds());
			response.getHeaders().set(HeaderNames.RETRY_AFTER, Long.toString(seconds));
		}
	}

}
