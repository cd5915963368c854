package org.crocuspost.operations;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.crocuspost.entry.RequestListener;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.retry.RequestOutcome;

/**
 * Keeps the outcomes of the most recent requests of an entry in memory and explains them
 * to operators.
 */
public final class RequestLog implements RequestListener, Explainer {

	private static final int CAPACITY = 10_000;

	private final Map<String, Explanation> requests = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Explanation> eldest) {
			return size() > CAPACITY;
		}

	};

	@Override
	public void requestEnded(String service, RequestOutcome outcome, Duration latency) {
		// A request without an id cannot be looked up.
	}

	@Override
	public void requestEnded(String requestId, String service, RequestOutcome outcome, Duration latency) {
		Explanation explanation = new Explanation(requestId, outcome.verdict().label(),
				reasons(service, outcome, latency));
		synchronized (this.requests) {
			this.requests.put(requestId, explanation);
		}
	}

	private static List<String> reasons(String service, RequestOutcome outcome, Duration latency) {
		String serviceLabel = service.isEmpty() ? "no service" : "service " + service;
		return List.of(reason(outcome), serviceLabel + ", answered after " + latency.toMillis() + " ms");
	}

	private static String reason(RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.Answered answered) {
			return "the endpoint answered with status " + answered.answer().status();
		}
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			return text(notRun.failure());
		}
		return text(((RequestOutcome.MayHaveRun) outcome).failure());
	}

	private static String text(Failure failure) {
		return failure.code().code() + ": " + failure.message();
	}

	@Override
	public Either<Failure, Explanation> explain(String id) {
		synchronized (this.requests) {
			Explanation explanation = this.requests.get(id);
			return (explanation != null) ? Either.right(explanation)
					: Either.left(ErrorCode.NOT_FOUND.with("request " + id + " in the memory of this entry"));
		}
	}

}
