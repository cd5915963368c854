package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.host.OrderOutcome;
import org.crocuspost.host.WorkerAnnouncement;
import org.crocuspost.host.WorkerCalls;
import org.crocuspost.host.WorkerState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.json.JsonTrees;
import org.crocuspost.platform.http.HttpCaller;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.HttpOutcome.Answered;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.RunningTask;

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

	private static final int ENDED_CHECKPOINT_FIELD = 4;

	private static final int RUNNING_LOAD_FIELD = 4;

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
		try {
			JsonNode body = JsonTrees.read(((Answered) outcome).body());
			List<RunningTask> running = new ArrayList<>();
			for (JsonNode row : body.path("running")) {
				TaskKey.parse(row.path(0).asText()).ifPresent((key) -> running.add(running(key, row)));
			}
			List<EndedTask> ended = new ArrayList<>();
			for (JsonNode row : body.path("finished")) {
				TaskKey.parse(row.path(1).asText()).ifPresent((key) -> ended.add(ended(key, row)));
			}
			return Either
				.right(new WorkerState(body.path("clock_ms").asLong(), body.path("born").asLong(), running, ended));
		}
		catch (IOException ex) {
			return Either.left(new OrderOutcome(OrderOutcome.Kind.UNKNOWN, "the answer is malformed"));
		}
	}

	private static RunningTask running(TaskKey key, JsonNode row) {
		// Fields by position: task, run, saved progress, progress in percent, load.
		return RunningTask.newBuilder()
			.setTask(TaskNames.name(key))
			.setRun(row.path(1).asInt())
			.setCheckpoint(row.path(2).asText())
			.setProgress(row.path(3).asInt())
			.setLoad(row.path(RUNNING_LOAD_FIELD).asInt())
			.build();
	}

	private static EndedTask ended(TaskKey key, JsonNode row) {
		// Fields by position: number, task, run, kind of end, saved progress.
		return EndedTask.newBuilder()
			.setNumber(row.path(0).asLong())
			.setTask(TaskNames.name(key))
			.setRun(row.path(2).asInt())
			.setKind(row.path(3).asText())
			.setCheckpoint(row.path(ENDED_CHECKPOINT_FIELD).asText())
			.build();
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
