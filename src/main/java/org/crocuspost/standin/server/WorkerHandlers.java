package org.crocuspost.standin.server;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.LeaseRenewal;
import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.platform.worker.TaskStates;
import org.crocuspost.platform.worker.ThrottleRequest;
import org.crocuspost.platform.worker.UsageReports;
import org.crocuspost.platform.worker.WorkerRuntime;
import ratpack.func.Action;
import ratpack.handling.Chain;

/**
 * Routes of one worker runtime.
 */
final class WorkerHandlers implements Action<Chain> {

	private final WorkerRuntime runtime;

	WorkerHandlers(WorkerRuntime runtime) {
		this.runtime = runtime;
	}

	@Override
	public void execute(Chain chain) {
		chain.post("start", (context) -> Answers.withBody(context, TaskStart.class, this.runtime::start))
			.post("renew",
					(context) -> Answers.withBody(context, LeaseRenewal.class,
							(order) -> this.runtime.renew(order.attempt(), order.lease())))
			.post("checkpoint", (context) -> Answers.withBody(context, AttemptKey.class, this.runtime::checkpoint))
			.post("throttle",
					(context) -> Answers.withBody(context, ThrottleRequest.class,
							(order) -> this.runtime.throttle(order.attempt(), order.percent())))
			.post("stop", (context) -> Answers.withBody(context, AttemptKey.class, this.runtime::stop))
			.post("forget", (context) -> Answers.withBody(context, AttemptKey.class, this.runtime::forget))
			.get("attempts",
					(context) -> Answers.send(context,
							() -> this.runtime.list().map((states) -> new TaskStates(states.asJava()))))
			.get("usage", (context) -> Answers.send(context,
					() -> this.runtime.usage().map((reports) -> new UsageReports(reports.asJava()))));
	}

}
