package org.crocuspost.interference;

import java.util.Map;

import org.crocuspost.wire.WorkerReportReply;

/**
 * What the scheduler last said of the jobs on the worker. Safe for use by several
 * threads.
 */
public final class ReportedPriors implements EffectPriors {

	private volatile Map<String, JobEffect> effects = Map.of();

	/**
	 * Takes the answer to a report.
	 * @param reply the answer
	 */
	public void update(WorkerReportReply reply) {
		this.effects = Map.copyOf(InterferenceMessages.knownEffects(reply));
	}

	@Override
	public JobEffect of(String job) {
		return this.effects.getOrDefault(job, JobEffect.UNKNOWN);
	}

}
