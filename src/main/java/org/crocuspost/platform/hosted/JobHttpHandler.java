package org.crocuspost.platform.hosted;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.vavr.control.Either;
import org.crocuspost.error.Verdict;
import org.crocuspost.httpserver.HttpServerHandler;
import org.crocuspost.httpserver.HttpServerRequest;
import org.crocuspost.httpserver.HttpServerResponse;
import org.crocuspost.ingress.JobAnswer;
import org.crocuspost.ingress.JobRequest;
import org.crocuspost.ingress.JobService;
import org.crocuspost.job.JobSpecification;

/**
 * Translates callers' HTTP requests into requests to the job service, and its answers
 * into HTTP responses.
 */
final class JobHttpHandler implements HttpServerHandler {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/**
	 * Largest body of a request that the platform allows.
	 */
	static final int MAXIMUM_BODY_BYTES = 262_144;

	/**
	 * Header in which callers say how many milliseconds they wait for the answer.
	 */
	private static final String TIME_REMAINING_HEADER = "X-Crocuspost-Time-Remaining";

	private final JobService jobService;

	private final Executor loop;

	private final InFlightRequests requestsInFlight;

	JobHttpHandler(JobService jobService, Executor loop, InFlightRequests requestsInFlight) {
		this.jobService = jobService;
		this.loop = loop;
		this.requestsInFlight = requestsInFlight;
	}

	@Override
	public Runnable requestStarted(Channel channel) {
		// A stopping process must not close the connection before the response is sent.
		return this.requestsInFlight.begin(channel);
	}

	@Override
	public void handle(HttpServerRequest request, Consumer<HttpServerResponse> responder) {
		Supplier<Either<String, JobSpecification>> specification = () -> JobDecoder.decode(request.body());
		JobRequest jobRequest = new JobRequest(method(request.method()), host(request), request.path(), specification,
				timeRemaining(request));
		this.loop.execute(() -> this.jobService.handle(jobRequest, (answer) -> responder.accept(response(answer))));
	}

	private static JobRequest.Method method(String method) {
		return switch (method) {
			case "POST" -> JobRequest.Method.SUBMIT;
			case "GET" -> JobRequest.Method.SHOW;
			case "DELETE" -> JobRequest.Method.CANCEL;
			default -> JobRequest.Method.OTHER;
		};
	}

	private static Optional<Duration> timeRemaining(HttpServerRequest request) {
		String text = request.headers().get(TIME_REMAINING_HEADER);
		try {
			return Optional.ofNullable(text)
				.map(Long::parseLong)
				.filter((millis) -> millis > 0)
				.map(Duration::ofMillis);
		}
		catch (NumberFormatException ex) {
			// The default applies, as without the header.
			return Optional.empty();
		}
	}

	private static String host(HttpServerRequest request) {
		String host = request.headers().get("Host");
		if (host == null) {
			return "";
		}
		int colon = host.indexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	private HttpServerResponse response(JobAnswer answer) {
		if (answer instanceof JobAnswer.Accepted) {
			return response(OK, "{}");
		}
		if (answer instanceof JobAnswer.State state) {
			return response(OK, "{\"state\":\"" + state.state().label() + "\"}");
		}
		if (answer instanceof JobAnswer.Pending pending) {
			return response(OK, "{\"pending\":" + pending.count() + "}");
		}
		if (answer instanceof JobAnswer.NoQueue) {
			return response(NOT_FOUND, "{\"error\":\"no queue of this host and path\"}");
		}
		if (answer instanceof JobAnswer.NoJob) {
			return response(GONE, "{\"error\":\"no such job\"}");
		}
		if (answer instanceof JobAnswer.Malformed malformed) {
			return response(BAD_REQUEST, JsonErrors.body(malformed.reason()));
		}
		return refusal((JobAnswer.Refused) answer);
	}

	private HttpServerResponse refusal(JobAnswer.Refused refused) {
		int status = refused.overloaded() ? TOO_MANY_REQUESTS : UNAVAILABLE;
		Map<String, String> headers = new TreeMap<>();
		refused.retryAfter()
			.ifPresent((delay) -> headers.put("Retry-After", String.valueOf(Math.max(1, delay.toSeconds()))));
		return response((refused.verdict() == Verdict.NOT_RUN) ? status : GATEWAY_TIMEOUT,
				JsonErrors.body(refused.reason()), headers);
	}

	private HttpServerResponse response(int status, String body) {
		return response(status, body, new TreeMap<>());
	}

	private HttpServerResponse response(int status, String body, Map<String, String> headers) {
		if (this.requestsInFlight.closing()) {
			headers.put("Connection", "close");
		}
		return HttpServerResponse.json(status, body, headers);
	}

}
