package org.crocuspost.platform.worker;

import java.time.Duration;
import java.util.Optional;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.HttpOutcome.Answered;
import org.crocuspost.platform.http.HttpOutcome.NeverSent;
import org.crocuspost.platform.http.HttpOutcome.Unanswered;
import org.crocuspost.platform.http.JsonBodies;
import org.crocuspost.platform.http.PlatformUrl;

/**
 * Worker runtime over HTTP. A call without a clear answer has the failure
 * {@code WORKER_FAILED}; it may have taken effect, and every call can be repeated.
 */
public final class HttpWorkerRuntime implements WorkerRuntime {

	private static final int OK = 200;

	private static final byte[] NO_BODY = {};

	private final BlockingHttpClient client;

	private final PlatformUrl url;

	private final String worker;

	/**
	 * Creates the adapter.
	 * @param client makes the calls; the caller closes it
	 * @param url the address of the worker runtime
	 * @param worker the name of the worker
	 */
	public HttpWorkerRuntime(BlockingHttpClient client, PlatformUrl url, String worker) {
		this.client = client;
		this.url = url;
		this.worker = worker;
	}

	@Override
	public Either<Failure, TaskState> start(TaskStart start) {
		return post("start", start);
	}

	@Override
	public Either<Failure, TaskState> renew(AttemptKey attempt, Duration lease) {
		return post("renew", new LeaseRenewal(attempt, lease));
	}

	@Override
	public Either<Failure, TaskState> checkpoint(AttemptKey attempt) {
		return post("checkpoint", attempt);
	}

	@Override
	public Either<Failure, TaskState> throttle(AttemptKey attempt, int percent) {
		return post("throttle", new ThrottleRequest(attempt, percent));
	}

	@Override
	public Either<Failure, TaskState> stop(AttemptKey attempt) {
		return post("stop", attempt);
	}

	@Override
	public Either<Failure, TaskState> forget(AttemptKey attempt) {
		return post("forget", attempt);
	}

	@Override
	public Either<Failure, Seq<TaskState>> list() {
		return call("GET", "attempts", NO_BODY, TaskStates.class).map((body) -> Vector.ofAll(body.attempts()));
	}

	@Override
	public Either<Failure, Seq<UsageReport>> usage() {
		return call("GET", "usage", NO_BODY, UsageReports.class).map((body) -> Vector.ofAll(body.reports()));
	}

	private Either<Failure, TaskState> post(String operation, Object body) {
		return call("POST", operation, JsonBodies.write(body), TaskState.class);
	}

	private <T> Either<Failure, T> call(String method, String operation, byte[] body, Class<T> type) {
		String path = "/workers/" + this.worker + "/" + operation;
		HttpOutcome outcome = this.client.call(method, this.url.resolve(path), body, JsonBodies.CONTENT_TYPE);
		if (outcome instanceof NeverSent neverSent) {
			return Either.left(failed(neverSent.reason()));
		}
		if (outcome instanceof Unanswered unanswered) {
			return Either.left(failed(unanswered.reason()));
		}
		Answered answered = (Answered) outcome;
		if (answered.status() != OK) {
			return Either.left(refusal(answered));
		}
		Optional<T> result = JsonBodies.read(answered.body(), type);
		return result.<Either<Failure, T>>map(Either::right)
			.orElseGet(() -> Either.left(failed("the answer is malformed")));
	}

	private Failure refusal(Answered answered) {
		return JsonBodies.failure(answered.body()).orElseGet(() -> failed("status " + answered.status()));
	}

	private Failure failed(String reason) {
		return ErrorCode.WORKER_FAILED.with(this.worker, reason);
	}

}
