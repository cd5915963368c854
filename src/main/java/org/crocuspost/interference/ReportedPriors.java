package org.crocuspost.interference;

import java.util.Map;

import org.crocuspost.wire.WorkerReportReply;

/**
 * Holds the effects of the jobs on the worker from the last reply of the scheduler.
 * Thread-safe.
 */
public final class ReportedPriors implements EffectPriors {

	private volatile Map<String, JobEffect> effects = Map.of();

	/**
	 * Replaces the effects with those in the reply to a report.
	 * @param reply the reply
	 */
	public void update(WorkerReportReply reply) {
		this.effects = Map.copyOf(InterferenceMessages.knownEffects(reply));
	}

	@Override
	public JobEffect effect(String job) {
		return this.effects.getOrDefault(job, JobEffect.UNKNOWN);
	}

}
