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
 * Calls to the worker of the host.
 */
public final class HostedWorkerCalls implements WorkerCalls {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int MISDIRECTED = 421;

	private static final String FENCE_REASON = "fence";

	/**
	 * Bound on a call. The worker is on the same host and answers within milliseconds.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

	private final HttpCaller caller;

	private final InetSocketAddress address;

	/**
	 * Creates the adapter.
	 * @param caller makes the calls
	 * @param address the address of the worker
	 */
	public HostedWorkerCalls(HttpCaller caller, InetSocketAddress address) {
		this.caller = caller;
		this.address = address;
	}

	@Override
	public void hold(WorkerAnnouncement life, long fence, long acknowledgedEnds, long leaseUntilMillis,
			Duration patience, Consumer<Either<OrderOutcome, WorkerState>> answer) {
		ObjectNode body = JsonTrees.object()
			.put("fencing_token", fence)
			.put("last_seen", acknowledgedEnds)
			.put("wait_ms", patience.toMillis());
		if (leaseUntilMillis > 0) {
			body.put("deadline_ms", leaseUntilMillis);
		}
		call(life, "/v1/hold", body, CALL_TIMEOUT.plus(patience), (outcome) -> answer.accept(state(outcome)));
	}

	private static Either<OrderOutcome, WorkerState> state(HttpOutcome outcome) {
		OrderOutcome order = order(outcome);
		if (order.kind() != OrderOutcome.Kind.OBEYED) {
			return Either.left(order);
		}
		return WorkerStateDecoder.decode(((Answered) outcome).body())
			.<Either<OrderOutcome, WorkerState>>map(Either::right)
			.orElseGet(() -> Either.left(new OrderOutcome(OrderOutcome.Kind.UNKNOWN, "the answer is malformed")));
	}

	@Override
	public void start(WorkerAnnouncement life, long fence, RunStart run, long leaseUntilMillis,
			Consumer<OrderOutcome> answer) {
		ObjectNode body = run(run.task(), run.run(), fence).put("spec", run.specification())
			.put("deadline_ms", leaseUntilMillis);
		if (!run.checkpoint().isEmpty()) {
			body.put("checkpoint", run.checkpoint());
		}
		if (!run.ticket().isEmpty()) {
			body.put("ticket", run.ticket());
		}
		call(life, "/v1/run-start", body, CALL_TIMEOUT, (outcome) -> answer.accept(order(outcome)));
	}

	@Override
	public void stop(WorkerAnnouncement life, long fence, TaskKey task, int run, Consumer<OrderOutcome> answer) {
		call(life, "/v1/run-stop", run(task, run, fence), CALL_TIMEOUT, (outcome) -> answer.accept(order(outcome)));
	}

	@Override
	public void pace(WorkerAnnouncement life, long fence, TaskKey task, int run, int percent,
			Consumer<OrderOutcome> answer) {
		call(life, "/v1/pace", run(task, run, fence).put("percent", percent), CALL_TIMEOUT,
				(outcome) -> answer.accept(order(outcome)));
	}

	private static ObjectNode run(TaskKey task, int run, long fence) {
		return JsonTrees.object().put("task", task.toString()).put("run_id", run).put("fencing_token", fence);
	}

	private void call(WorkerAnnouncement life, String path, ObjectNode body, Duration timeout,
			Consumer<HttpOutcome> answer) {
		Map<String, String> headers = Map.of("X-Crocuspost-Expected-Instance", life.id());
		this.caller.call(this.address, new HttpCaller.Request("POST", path, headers, JsonTrees.bytes(body)), timeout,
				answer);
	}

	private static OrderOutcome order(HttpOutcome outcome) {
		if (outcome instanceof HttpOutcome.NeverSent neverSent) {
			return new OrderOutcome(OrderOutcome.Kind.NEVER_SENT, neverSent.reason());
		}
		if (outcome instanceof HttpOutcome.Unanswered unanswered) {
			return new OrderOutcome(OrderOutcome.Kind.UNKNOWN, unanswered.reason());
		}
		Answered answered = (Answered) outcome;
		return switch (answered.status()) {
			case OK -> new OrderOutcome(OrderOutcome.Kind.OBEYED, "");
			case MISDIRECTED -> new OrderOutcome(OrderOutcome.Kind.OTHER_LIFE, "another worker answers");
			case CONFLICT -> conflict(answered);
			default -> new OrderOutcome(OrderOutcome.Kind.REFUSED, "status " + answered.status());
		};
	}

	private static OrderOutcome conflict(Answered answered) {
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
