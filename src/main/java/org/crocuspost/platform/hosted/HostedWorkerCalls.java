package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.crocuspost.host.OrderOutcome;
import org.crocuspost.host.WorkerAnnouncement;
import org.crocuspost.host.WorkerCalls;
import org.crocuspost.host.WorkerState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.json.JsonTrees;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.HttpOutcome.Answered;

/**
 * Calls the worker of the host over HTTP.
 */
public final class HostedWorkerCalls implements WorkerCalls {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final String FENCE_REASON = "fence";

	/**
	 * Timeout of a call. The worker is on the same host and answers within milliseconds.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

	private final HttpCaller caller;

	private final InetSocketAddress address;

	/**
	 * Creates the adapter.
	 * @param caller the HTTP client
	 * @param address the address of the worker
	 */
	public HostedWorkerCalls(HttpCaller caller, InetSocketAddress address) {
		this.caller = caller;
		this.address = address;
	}

	@Override
	public void hold(WorkerAnnouncement target, long fence, long acknowledgedEnds, long leaseUntilMillis,
			Duration maximumWait, Consumer<Either<OrderOutcome, WorkerState>> answer) {
		ObjectNode body = JsonTrees.object()
			.put("fencing_token", fence)
			.put("last_seen", acknowledgedEnds)
			.put("wait_ms", maximumWait.toMillis());
		if (leaseUntilMillis > 0) {
			body.put("deadline_ms", leaseUntilMillis);
		}
		call(target, "/v1/hold", body, CALL_TIMEOUT.plus(maximumWait), (outcome) -> answer.accept(holdResult(outcome)));
	}

	private static Either<OrderOutcome, WorkerState> holdResult(HttpOutcome outcome) {
		OrderOutcome result = orderOutcome(outcome);
		if (result.kind() != OrderOutcome.Kind.OBEYED) {
			return Either.left(result);
		}
		return WorkerStateDecoder.decode(((Answered) outcome).body())
			.<Either<OrderOutcome, WorkerState>>map(Either::right)
			.orElseGet(() -> Either.left(new OrderOutcome(OrderOutcome.Kind.UNKNOWN, "the answer is malformed")));
	}

	@Override
	public void start(WorkerAnnouncement target, long fence, RunStart run, long leaseUntilMillis,
			Consumer<OrderOutcome> answer) {
		ObjectNode body = runBody(run.task(), run.run(), fence).put("spec", run.specification())
			.put("deadline_ms", leaseUntilMillis);
		if (!run.checkpoint().isEmpty()) {
			body.put("checkpoint", run.checkpoint());
		}
		if (!run.ticket().isEmpty()) {
			body.put("ticket", run.ticket());
		}
		call(target, "/v1/run-start", body, CALL_TIMEOUT, (outcome) -> answer.accept(orderOutcome(outcome)));
	}

	@Override
	public void stop(WorkerAnnouncement target, long fence, TaskKey task, int run, Consumer<OrderOutcome> answer) {
		call(target, "/v1/run-stop", runBody(task, run, fence), CALL_TIMEOUT,
				(outcome) -> answer.accept(orderOutcome(outcome)));
	}

	@Override
	public void pace(WorkerAnnouncement target, long fence, TaskKey task, int run, int percent,
			Consumer<OrderOutcome> answer) {
		call(target, "/v1/pace", runBody(task, run, fence).put("percent", percent), CALL_TIMEOUT,
				(outcome) -> answer.accept(orderOutcome(outcome)));
	}

	private static ObjectNode runBody(TaskKey task, int run, long fence) {
		return JsonTrees.object().put("task", task.toString()).put("run_id", run).put("fencing_token", fence);
	}

	private void call(WorkerAnnouncement target, String path, ObjectNode body, Duration timeout,
			Consumer<HttpOutcome> answer) {
		Map<String, String> headers = Map.of("X-Crocuspost-Expected-Instance", target.id());
		this.caller.call(this.address, new HttpCaller.Request("POST", path, headers, JsonTrees.bytes(body)), timeout,
				answer);
	}

	private static OrderOutcome orderOutcome(HttpOutcome outcome) {
		if (outcome instanceof HttpOutcome.NeverSent neverSent) {
			return new OrderOutcome(OrderOutcome.Kind.NEVER_SENT, neverSent.reason());
		}
		if (outcome instanceof HttpOutcome.Unanswered unanswered) {
			return new OrderOutcome(OrderOutcome.Kind.UNKNOWN, unanswered.reason());
		}
		Answered answered = (Answered) outcome;
		return switch (answered.status()) {
			case OK -> new OrderOutcome(OrderOutcome.Kind.OBEYED, "");
			case MISDIRECTED_REQUEST -> new OrderOutcome(OrderOutcome.Kind.OTHER_LIFE, "another worker answers");
			case CONFLICT -> conflictOutcome(answered);
			default -> new OrderOutcome(OrderOutcome.Kind.REFUSED, "status " + answered.status());
		};
	}

	private static OrderOutcome conflictOutcome(Answered answered) {
		try {
			String reason = JsonTrees.read(answered.body()).path("reason").asText();
			return new OrderOutcome(reason.equals(FENCE_REASON) ? OrderOutcome.Kind.FENCED : OrderOutcome.Kind.REFUSED,
					reason);
		}
		catch (IOException ex) {
			return new OrderOutcome(OrderOutcome.Kind.REFUSED, "conflict without a reason");
		}
	}

}
