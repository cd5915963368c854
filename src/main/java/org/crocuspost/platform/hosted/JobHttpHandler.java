package org.crocuspost.platform.hosted;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.error.Verdict;
import org.crocuspost.ingress.JobAnswer;
import org.crocuspost.ingress.JobRequest;
import org.crocuspost.ingress.JobService;
import org.crocuspost.job.JobSpecification;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.HttpMethod;
import ratpack.http.RequestBodyTooLargeException;

/**
 * Translates callers' HTTP requests into requests to the job service, and its answers
 * into HTTP responses.
 */
final class JobHttpHandler implements Handler {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int TOO_LARGE = 413;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int MAXIMUM_BODY_BYTES = 262_144;

	/**
	 * Header in which callers say how many milliseconds they wait for the answer.
	 */
	private static final String TIME_REMAINING_HEADER = "X-Crocuspost-Time-Remaining";

	private static final byte[] NO_BODY = {};

	private final JobService jobService;

	private final Executor loop;

	private final InFlightRequests requestsInFlight;

	JobHttpHandler(JobService jobService, Executor loop, InFlightRequests requestsInFlight) {
		this.jobService = jobService;
		this.loop = loop;
		this.requestsInFlight = requestsInFlight;
	}

	@Override
	public void handle(Context context) {
		JobRequest.Method method = method(context.getRequest().getMethod());
		// A stopping process must not close the connection before the response is sent.
		Runnable end = this.requestsInFlight.begin(context.getDirectChannelAccess().getChannel());
		context.onClose((outcome) -> end.run());
		if (method == JobRequest.Method.SUBMIT) {
			context.getRequest()
				.getBody(MAXIMUM_BODY_BYTES)
				.map((body) -> body.getBytes())
				.onError(RequestBodyTooLargeException.class, (error) -> respond(context, TOO_LARGE, "{}"))
				.onError((error) -> respond(context, BAD_REQUEST, JsonErrors.body("the body could not be read")))
				.then((body) -> dispatch(context, method, body));
		}
		else {
			dispatch(context, method, NO_BODY);
		}
	}

	private void dispatch(Context context, JobRequest.Method method, byte[] body) {
		Supplier<Either<String, JobSpecification>> specification = () -> JobDecoder.decode(body);
		JobRequest request = new JobRequest(method, host(context), path(context), specification,
				timeRemaining(context));
		Promise
			.<JobAnswer>async(
					(downstream) -> this.loop.execute(() -> this.jobService.handle(request, downstream::success)))
			.then((answer) -> respond(context, answer));
	}

	private static JobRequest.Method method(HttpMethod method) {
		if (method.isPost()) {
			return JobRequest.Method.SUBMIT;
		}
		if (method.isGet()) {
			return JobRequest.Method.SHOW;
		}
		return method.isDelete() ? JobRequest.Method.CANCEL : JobRequest.Method.OTHER;
	}

	private static Optional<Duration> timeRemaining(Context context) {
		String text = context.getRequest().getHeaders().get(TIME_REMAINING_HEADER);
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

	private static String host(Context context) {
		String host = context.getRequest().getHeaders().get("Host");
		if (host == null) {
			return "";
		}
		int colon = host.indexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	private static String path(Context context) {
		String uri = context.getRequest().getRawUri();
		int query = uri.indexOf('?');
		return (query < 0) ? uri : uri.substring(0, query);
	}

	private void respond(Context context, JobAnswer answer) {
		if (answer instanceof JobAnswer.Accepted) {
			respond(context, OK, "{}");
		}
		else if (answer instanceof JobAnswer.State state) {
			respond(context, OK, "{\"state\":\"" + state.state().label() + "\"}");
		}
		else if (answer instanceof JobAnswer.Pending pending) {
			respond(context, OK, "{\"pending\":" + pending.count() + "}");
		}
		else if (answer instanceof JobAnswer.NoQueue) {
			respond(context, NOT_FOUND, "{\"error\":\"no queue of this host and path\"}");
		}
		else if (answer instanceof JobAnswer.NoJob) {
			respond(context, GONE, "{\"error\":\"no such job\"}");
		}
		else if (answer instanceof JobAnswer.Malformed malformed) {
			respond(context, BAD_REQUEST, JsonErrors.body(malformed.reason()));
		}
		else if (answer instanceof JobAnswer.Refused refused) {
			refuse(context, refused);
		}
	}

	private void refuse(Context context, JobAnswer.Refused refused) {
		refused.retryAfter()
			.ifPresent((delay) -> context.getResponse()
				.getHeaders()
				.set("Retry-After", String.valueOf(Math.max(1, delay.toSeconds()))));
		int status = refused.overloaded() ? TOO_MANY_REQUESTS : UNAVAILABLE;
		respond(context, (refused.verdict() == Verdict.NOT_RUN) ? status : GATEWAY_TIMEOUT,
				JsonErrors.body(refused.reason()));
	}

	private void respond(Context context, int status, String body) {
		if (this.requestsInFlight.closing()) {
			context.getResponse().getHeaders().set("Connection", "close");
		}
		context.getResponse().status(status).send("application/json", body);
	}

}
