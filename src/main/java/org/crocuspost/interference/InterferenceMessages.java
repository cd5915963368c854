package org.crocuspost.interference;

import java.util.List;

import org.crocuspost.wire.EvictionProposal;
import org.crocuspost.wire.PairEffect;
import org.crocuspost.wire.WorkerReport;

/**
 * Translates between what the agent and the scheduler know of interference and the wire
 * messages.
 */
public final class InterferenceMessages {

	private static final double UNIT = 1000;

	private InterferenceMessages() {
	}

	/**
	 * Adds what the controller knows to a report.
	 * @param controller the controller of the worker
	 * @param service the name of the service on the worker
	 * @param report the report to complete
	 */
	public static void complete(InterferenceController controller, String service, WorkerReport.Builder report) {
		report.setService(service);
		report.setServicePressure(controller.pressureThousandths());
		for (PairObservation observation : controller.observations()) {
			report.addPairEffects(toWire(observation.job(), observation.effect()));
		}
	}

	/**
	 * Translates a request for an eviction.
	 * @param request the request
	 * @return the message
	 */
	public static EvictionProposal toWire(EvictionRequest request) {
		return EvictionProposal.newBuilder()
			.setTaskId(request.attempt().taskId())
			.setAttempt(request.attempt().attempt())
			.setEvidence(toWire(request.job(), request.effect()))
			.setPressureThousandths((int) Math.round(request.pressure() * UNIT))
			.build();
	}

	/**
	 * Reads what a worker has learned.
	 * @param report the report of the worker
	 * @return an observation for each job beside the service
	 */
	public static List<PairObservation> observations(WorkerReport report) {
		return report.getPairEffectsList()
			.stream()
			.map((effect) -> new PairObservation(report.getService(), effect.getJob(), fromWire(effect)))
			.toList();
	}

	private static PairEffect toWire(String job, JobEffect effect) {
		return PairEffect.newBuilder()
			.setJob(job)
			.setEffectThousandths((int) Math.round(effect.mean() * UNIT))
			.setStandardErrorThousandths((int) Math.max(1, Math.round(effect.standardError() * UNIT)))
			.build();
	}

	private static JobEffect fromWire(PairEffect effect) {
		return new JobEffect(effect.getEffectThousandths() / UNIT, effect.getStandardErrorThousandths() / UNIT);
	}

}
