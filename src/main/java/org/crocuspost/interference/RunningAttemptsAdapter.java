package org.crocuspost.interference;

import java.util.List;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.worker.RunningAttempts;

/**
 * Adapts the running attempts of an agent to the interfaces of the interference
 * controller.
 */
public final class RunningAttemptsAdapter implements ControlledAttempts, ThrottleControl, EvictionRequester {

	private final RunningAttempts attempts;

	/**
	 * Creates the adapter.
	 * @param attempts the attempts of the worker
	 */
	public RunningAttemptsAdapter(RunningAttempts attempts) {
		this.attempts = attempts;
	}

	@Override
	public List<ControlledAttempt> current() {
		return this.attempts.running()
			.map((attempt) -> new ControlledAttempt(attempt.attempt(), attempt.job(), attempt.reserved()))
			.asJava();
	}

	@Override
	public void throttle(AttemptKey attempt, int percent) {
		this.attempts.throttle(attempt, percent);
	}

	@Override
	public void request(EvictionRequest request) {
		this.attempts.requestEviction(request.attempt());
	}

}
