package org.crocuspost.interference;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;

import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.WorkerSnapshot;

/**
 * Expected harm of a job on a worker, from the learned penalties.
 *
 * <p>
 * A worker without service costs a little, so that harmless jobs leave it to noisy ones.
 * On a worker with a service the expected slowdown of all tasks together is bounded;
 * beyond the bound a task would only be throttled and hold resources that a harmless one
 * could use. A first noisy task is always let in, so that noisy jobs make progress where
 * every worker carries a service.
 */
public final class LearnedPairPenalty implements PairPenalty {

	private static final double PRESSURE_UNIT = 1000;

	private static final double COST_WITHOUT_SERVICE = 0.2;

	private static final double MOST_EXPECTED_SLOWDOWN = 0.15;

	private static final double HARMLESS = 0.02;

	private final PairPenalties penalties;

	private final Function<String, Optional<String>> serviceOfWorker;

	private final ToLongFunction<String> milliCoresOfJob;

	/**
	 * Creates the cost function.
	 * @param penalties what the fleet has learned
	 * @param serviceOfWorker gives the service on a worker by the worker's name, or none
	 * @param milliCoresOfJob gives the processor time that is set aside for a task of a
	 * job by the job's name, in thousandths of a core
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
		double present = present(service.get(), worker);
		boolean harmless = penalty.get() <= HARMLESS;
		boolean first = present <= HARMLESS;
		boolean bounded = present + penalty.get() <= MOST_EXPECTED_SLOWDOWN;
		return (harmless || first || bounded) ? penalty.get() : Double.POSITIVE_INFINITY;
	}

	private Optional<Double> penalty(String service, String job, WorkerSnapshot worker) {
		double share = share(job, worker);
		double pressure = worker.servicePressure() / PRESSURE_UNIT;
		return worker.tasksByJob().containsKey(job) ? this.penalties.furtherPenalty(service, job, share, pressure)
				: this.penalties.penalty(service, job, share, pressure);
	}

	private double present(String service, WorkerSnapshot worker) {
		double sum = 0;
		for (Map.Entry<String, Integer> tasks : worker.tasksByJob().entrySet()) {
			double effect = this.penalties.effect(service, tasks.getKey()).upperBound(0);
			sum += tasks.getValue() * share(tasks.getKey(), worker) * effect;
		}
		return sum;
	}

	private double share(String job, WorkerSnapshot worker) {
		return (double) this.milliCoresOfJob.applyAsLong(job) / worker.capacity().milliCores();
	}

}
