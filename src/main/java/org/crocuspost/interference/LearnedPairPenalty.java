package org.crocuspost.interference;

import java.util.Optional;
import java.util.function.Function;

/**
 * Expected harm of a job on a worker, from the learned penalties. The placement uses it
 * as the cost of a pair.
 */
public final class LearnedPairPenalty {

	private static final double UNIT = 1000;

	private final PairPenalties penalties;

	private final Function<String, Optional<String>> serviceOfWorker;

	/**
	 * Creates the cost function.
	 * @param penalties what the fleet has learned
	 * @param serviceOfWorker gives the service on a worker by the worker's name, or none
	 */
	public LearnedPairPenalty(PairPenalties penalties, Function<String, Optional<String>> serviceOfWorker) {
		this.penalties = penalties;
		this.serviceOfWorker = serviceOfWorker;
	}

	/**
	 * Returns the expected harm.
	 * @param job the name of the job
	 * @param worker the name of the worker
	 * @param share the share of the worker's cores that a task of the job takes
	 * @param pressureThousandths the pressure on the service of the worker
	 * @return the expected rise of the logarithm of the service's latency;
	 * {@link Double#POSITIVE_INFINITY} if the job must not be tried there now
	 */
	public double cost(String job, String worker, double share, int pressureThousandths) {
		Optional<String> service = this.serviceOfWorker.apply(worker);
		if (service.isEmpty()) {
			return 0;
		}
		return this.penalties.penalty(service.get(), job, share, pressureThousandths / UNIT)
			.orElse(Double.POSITIVE_INFINITY);
	}

}
