package org.crocuspost.interference;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.crocuspost.wire.EvictionProposal;
import org.crocuspost.wire.PairEffect;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

/**
 * Converts interference data of the agent and the scheduler to and from wire messages.
 */
public final class InterferenceMessages {

	private static final double THOUSANDTHS_PER_UNIT = 1000;

	private InterferenceMessages() {
	}

	/**
	 * Adds the service, its pressure and the observations of the controller to a report.
	 * @param controller the controller of the worker
	 * @param service the name of the service on the worker
	 * @param report the report to complete
	 */
	public static void addInterferenceData(InterferenceController controller, String service,
			WorkerReport.Builder report) {
		report.setService(service);
		report.setServicePressure(controller.pressureThousandths());
		for (PairObservation observation : controller.observations()) {
			report.addPairEffects(toWire(observation.job(), observation.effect()));
		}
	}

	/**
	 * Converts a request for an eviction to a wire message.
	 * @param request the request
	 * @return the message
	 */
	public static EvictionProposal toWire(EvictionRequest request) {
		return EvictionProposal.newBuilder()
			.setTaskId(request.attempt().taskId())
			.setAttempt(request.attempt().attempt())
			.setEvidence(toWire(request.job(), request.effect()))
			.setPressureThousandths((int) Math.round(request.pressure() * THOUSANDTHS_PER_UNIT))
			.build();
	}

	/**
	 * Adds the fleet's estimates for the jobs on a worker to the reply to its report.
	 * @param penalties the evidence of the fleet
	 * @param report the report that is answered
	 * @param reply the reply to complete
	 */
	public static void addInterferenceData(PairPenalties penalties, WorkerReport report,
			WorkerReportReply.Builder reply) {
		for (PairEffect reported : report.getPairEffectsList()) {
			reply.addKnownEffects(toWire(reported.getJob(), penalties.effect(report.getService(), reported.getJob())));
		}
	}

	/**
	 * Reads the fleet's estimates from the reply to a report.
	 * @param reply the reply
	 * @return the effects by job
	 */
	public static Map<String, JobEffect> knownEffects(WorkerReportReply reply) {
		return reply.getKnownEffectsList()
			.stream()
			.collect(Collectors.toMap(PairEffect::getJob, InterferenceMessages::fromWire, (first, second) -> second));
	}

	/**
	 * Reads the observations of a worker from its report.
	 * @param report the report of the worker
	 * @return an observation for each job that shares the worker with the service
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
			.setEffectThousandths((int) Math.round(effect.mean() * THOUSANDTHS_PER_UNIT))
			.setStandardErrorThousandths((int) Math.max(1, Math.round(effect.standardError() * THOUSANDTHS_PER_UNIT)))
			.build();
	}

	private static JobEffect fromWire(PairEffect effect) {
		return new JobEffect(effect.getEffectThousandths() / THOUSANDTHS_PER_UNIT,
				effect.getStandardErrorThousandths() / THOUSANDTHS_PER_UNIT);
	}

}
