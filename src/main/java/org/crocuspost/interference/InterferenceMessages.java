package org.crocuspost.interference;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.crocuspost.wire.EvictionProposal;
import org.crocuspost.wire.PairEffect;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

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
	public static void addInterferenceData(InterferenceController controller, String service, WorkerReport.Builder report) {
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
	 * Adds what the fleet knows of the jobs on a worker to the answer to its report.
	 * @param penalties what the fleet knows
	 * @param report the report that is answered
	 * @param reply the answer to complete
	 */
	public static void addInterferenceData(PairPenalties penalties, WorkerReport report, WorkerReportReply.Builder reply) {
		for (PairEffect reported : report.getPairEffectsList()) {
			reply.addKnownEffects(toWire(reported.getJob(), penalties.effect(report.getService(), reported.getJob())));
		}
	}

	/**
	 * Reads what the fleet knows from the answer to a report.
	 * @param reply the answer
	 * @return the effects by job
	 */
	public static Map<String, JobEffect> knownEffects(WorkerReportReply reply) {
		return reply.getKnownEffectsList()
			.stream()
			.collect(Collectors.toMap(PairEffect::getJob, InterferenceMessages::fromWire, (first, second) -> second));
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
