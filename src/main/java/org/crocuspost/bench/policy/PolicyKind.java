package org.crocuspost.bench.policy;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.crocuspost.bench.policy.ShareControl.ShareLaw;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.FirstFitPlacementPolicy;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.time.VirtualTime;

/**
 * Policies that are compared.
 */
enum PolicyKind {

	/**
	 * Services alone; the reference for latency.
	 */
	BATCH_FREE {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl((request, candidates) -> java.util.OptionalInt.empty(), 0);
		}

	},

	/**
	 * Spread by load, nothing throttled.
	 */
	NO_CONTROL {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl(spread(), 100);
		}

	},

	/**
	 * First fit on declared sizes, nothing throttled.
	 */
	FIRST_FIT {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl(new FirstFitPlacementPolicy(), 100);
		}

	},

	/**
	 * Half the processor time beside services.
	 */
	STATIC_SHARE {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl(spread(), 50);
		}

	},

	/**
	 * No batch work beside services in the daytime.
	 */
	DAYTIME_OFF {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new NightOnlyControl(spread());
		}

	},

	/**
	 * Evicts the largest task when the service misses its objective.
	 */
	EVICT_ON_BREACH {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new EvictOnBreachControl(spread(), workers.size());
		}

	},

	/**
	 * One share for all tasks of a worker: additive increase, multiplicative decrease.
	 */
	ADDITIVE_INCREASE {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new ShareControl(spread(), workers.size(), ShareLaw.ADDITIVE_INCREASE);
		}

	},

	/**
	 * One share for all tasks of a worker: proportional control.
	 */
	PROPORTIONAL {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new ShareControl(spread(), workers.size(), ShareLaw.PROPORTIONAL);
		}

	},

	/**
	 * One share for all tasks of a worker: quantile tracking.
	 */
	QUANTILE_TRACKING {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new ShareControl(spread(), workers.size(), ShareLaw.QUANTILE_TRACKING);
		}

	},

	/**
	 * The product's policy.
	 */
	LEARNED {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new LearnedControl(workers, milliCoresByJob, time);
		}

	};

	/**
	 * Creates the policy for a run.
	 * @param workers the workers
	 * @param milliCoresByJob the declared processor time of a task by job
	 * @param time the time of the run
	 * @return the policy
	 */
	abstract BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time);

	/**
	 * Returns the policy's name in reports.
	 * @return the name in lower case with hyphens
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static PlacementPolicy spread() {
		return new DefaultPlacementPolicy(PairPenalty.NONE);
	}

}
