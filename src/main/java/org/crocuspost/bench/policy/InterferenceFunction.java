package org.crocuspost.bench.policy;

/**
 * Slowdown of a service as a function of the noise of the batch tasks on the same worker.
 * Noise is the sum over these tasks of interference coefficient times share of the cores.
 * The policies have no access to the function.
 */
enum InterferenceFunction {

	/**
	 * Grows in proportion to the noise and with the load of the service.
	 */
	LINEAR(false) {

		@Override
		double slowdown(double noise, double maxTaskNoise, double load) {
			return 1 + noise * (0.4 + 0.6 * load);
		}

	},

	/**
	 * Starts at a threshold of the noise, as when a shared cache overflows.
	 */
	THRESHOLD(false) {

		@Override
		double slowdown(double noise, double maxTaskNoise, double load) {
			return 1 + Math.max(0, noise - 0.2) * 1.4;
		}

	},

	/**
	 * Approaches a maximum as the noise grows.
	 */
	SATURATING(true) {

		@Override
		double slowdown(double noise, double maxTaskNoise, double load) {
			return 1 + 1.2 * (1 - Math.exp(-noise));
		}

	},

	/**
	 * Two noisy tasks together cause more slowdown than the sum of both alone.
	 */
	COMPOUND(true) {

		@Override
		double slowdown(double noise, double maxTaskNoise, double load) {
			return 1 + 0.6 * noise + 1.5 * maxTaskNoise * (noise - maxTaskNoise);
		}

	};

	private final boolean heldOut;

	InterferenceFunction(boolean heldOut) {
		this.heldOut = heldOut;
	}

	/**
	 * Returns whether the function is held out: used for the recorded results only and
	 * not during the development of the policy.
	 * @return true if it is held out
	 */
	boolean heldOut() {
		return this.heldOut;
	}

	/**
	 * Returns the factor by which the service is slowed down.
	 * @param noise the sum over the tasks of interference coefficient times share of the
	 * cores
	 * @param maxTaskNoise the largest term of that sum
	 * @param load the load of the service relative to its peak
	 * @return the factor, at least 1
	 */
	abstract double slowdown(double noise, double maxTaskNoise, double load);

}
