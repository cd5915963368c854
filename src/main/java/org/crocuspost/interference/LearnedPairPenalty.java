package org.crocuspost.interference;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;

import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.WorkerSnapshot;

/**
 * Computes the expected harm of a job on a worker from the learned penalties.
 *
 * <p>
 * A worker without a service has a small cost, so that harmless jobs leave it to noisy
 * ones. On a worker with a service the expected slowdown by all tasks together is
 * limited: beyond the limit a task would only be throttled and hold resources that a
 * harmless one could use. The first noisy task is always admitted, so that noisy jobs
 * make progress even if every worker runs a service.
 */
public final class LearnedPairPenalty implements PairPenalty {

	private static final double THOUSANDTHS_PER_UNIT = 1000;

	private static final double COST_WITHOUT_SERVICE = 0.2;

	private static final double MAX_EXPECTED_SLOWDOWN = 0.15;

	private static final double MAX_HARMLESS_SLOWDOWN = 0.02;

	private final PairPenalties penalties;

	private final Function<String, Optional<String>> serviceOfWorker;

	private final ToLongFunction<String> milliCoresOfJob;

	/**
	 * Creates the cost function.
	 * @param penalties the evidence of the fleet
	 * @param serviceOfWorker returns the service on a worker by the worker's name, or
	 * empty if there is none
	 * @param milliCoresOfJob returns the processor reservation of a task by the name of
	 * its job, in thousandths of a core
	 */
	public LearnedPairPenalty(PairPenalties penalties, Function<String, Optional<String>> serviceOfWorker,
			ToLongFunction<String> milliCoresOfJob) {
		this.penalties = penalties;
		this.serviceOfWorker = serviceOfWorker;
		this.milliCoresOfJob = milliCoresOfJob;
	}

	@Override
	public double cost(String job, WorkerSnapshot worker) {
		Optional<String> service = this.serviceOfWorker.apply(worker.worker());
		if (service.isEmpty()) {
			return COST_WITHOUT_SERVICE;
		}
		Optional<Double> penalty = penalty(service.get(), job, worker);
		if (penalty.isEmpty()) {
			return Double.POSITIVE_INFINITY;
		}
		double present = presentSlowdown(service.get(), worker);
		boolean harmless = penalty.get() <= MAX_HARMLESS_SLOWDOWN;
		boolean firstNoisyTask = present <= MAX_HARMLESS_SLOWDOWN;
		boolean withinLimit = present + penalty.get() <= MAX_EXPECTED_SLOWDOWN;
		return (harmless || firstNoisyTask || withinLimit) ? penalty.get() : Double.POSITIVE_INFINITY;
	}

	private Optional<Double> penalty(String service, String job, WorkerSnapshot worker) {
		double share = coreShare(job, worker);
		double pressure = worker.servicePressure() / THOUSANDTHS_PER_UNIT;
		return worker.tasksByJob().containsKey(job)
				? this.penalties.additionalTaskPenalty(service, job, share, pressure)
				: this.penalties.penalty(service, job, share, pressure);
	}

	private double presentSlowdown(String service, WorkerSnapshot worker) {
		double sum = 0;
		for (Map.Entry<String, Integer> tasks : worker.tasksByJob().entrySet()) {
			double effect = this.penalties.effect(service, tasks.getKey()).upperBound(0);
			sum += tasks.getValue() * coreShare(tasks.getKey(), worker) * effect;
		}
		return sum;
	}

	private double coreShare(String job, WorkerSnapshot worker) {
		return (double) this.milliCoresOfJob.applyAsLong(job) / worker.capacity().milliCores();
	}

}
