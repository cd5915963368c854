package org.crocuspost.bench.policy;

/**
 * Shape of the slowdown of a service by the batch work beside it. Hidden from the policy.
 */
enum InterferenceFunction {

	/**
	 * Grows in proportion to the batch work and with the load of the service.
	 */
	LINEAR(false) {

		@Override
		double slowdown(double noise, double strongest, double load) {
			return 1 + noise * (0.4 + 0.6 * load);
		}

	},

	/**
	 * Begins at a threshold, as when a shared cache overflows.
	 */
	THRESHOLD(false) {

		@Override
		double slowdown(double noise, double strongest, double load) {
			return 1 + Math.max(0, noise - 0.2) * 1.4;
		}

	},

	/**
	 * Saturates.
	 */
	SATURATING(true) {

		@Override
		double slowdown(double noise, double strongest, double load) {
			return 1 + 1.2 * (1 - Math.exp(-noise));
		}

	},

	/**
	 * Two noisy jobs together do more harm than each alone.
	 */
	COMPOUND(true) {

		@Override
		double slowdown(double noise, double strongest, double load) {
			return 1 + 0.6 * noise + 1.5 * strongest * (noise - strongest);
		}

	};

	private final boolean heldOut;

	InterferenceFunction(boolean heldOut) {
		this.heldOut = heldOut;
	}

	/**
	 * Says whether the function is kept for the recorded figures and not used while the
	 * policy is developed.
	 * @return true if it is held out
	 */
	boolean heldOut() {
		return this.heldOut;
	}

	/**
	 * Returns the factor by which the service is slowed down.
	 * @param noise the sum over the tasks of coefficient times share of the cores
	 * @param strongest the largest part of that sum
	 * @param load the load of the service relative to its peak
	 * @return the factor, at least 1
	 */
	abstract double slowdown(double noise, double strongest, double load);

}
