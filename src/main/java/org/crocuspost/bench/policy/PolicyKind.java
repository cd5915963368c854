package org.crocuspost.bench.policy;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.crocuspost.bench.policy.ShareControl.ControlLaw;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.FirstFitPlacementPolicy;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.time.VirtualTime;

/**
 * Policies that the benchmark compares.
 */
enum PolicyKind {

	/**
	 * No batch tasks; the reference for latency.
	 */
	BATCH_FREE {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl((request, candidates) -> java.util.OptionalInt.empty(), 0);
		}

	},

	/**
	 * Placement by load, no throttling; the reference for throughput.
	 */
	NO_CONTROL {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl(spread(), 100);
		}

	},

	/**
	 * First-fit placement by declared sizes, no throttling.
	 */
	FIRST_FIT {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl(new FirstFitPlacementPolicy(), 100);
		}

	},

	/**
	 * Half of the processor time for each task on the workers of services.
	 */
	STATIC_SHARE {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new StaticControl(spread(), 50);
		}

	},

	/**
	 * No batch work on the workers of services in the daytime.
	 */
	DAYTIME_OFF {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new NightOnlyControl(spread());
		}

	},

	/**
	 * Eviction of the largest task when the service misses its latency objective; the
	 * reference for evictions.
	 */
	EVICT_ON_BREACH {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new EvictOnBreachControl(spread(), workers.size());
		}

	},

	/**
	 * One share for all tasks of a worker, set by additive increase and multiplicative
	 * decrease.
	 */
	ADDITIVE_INCREASE {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new ShareControl(spread(), workers.size(), ControlLaw.ADDITIVE_INCREASE);
		}

	},

	/**
	 * One share for all tasks of a worker, set by proportional control.
	 */
	PROPORTIONAL {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new ShareControl(spread(), workers.size(), ControlLaw.PROPORTIONAL);
		}

	},

	/**
	 * One share for all tasks of a worker, set by quantile tracking.
	 */
	QUANTILE_TRACKING {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new ShareControl(spread(), workers.size(), ControlLaw.QUANTILE_TRACKING);
		}

	},

	/**
	 * Policy of crocuspost itself, with learned pair penalties.
	 */
	LEARNED {

		@Override
		BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
			return new LearnedControl(workers, milliCoresByJob, time);
		}

	};

	/**
	 * Creates the policy for a benchmark run.
	 * @param workers the workers
	 * @param milliCoresByJob the declared processor time of a task of each job, in
	 * thousandths of a core
	 * @param time the virtual time of the run
	 * @return the policy
	 */
	abstract BatchControl create(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time);

	/**
	 * Returns the name of the policy in reports.
	 * @return the name in lower case with hyphens
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static PlacementPolicy spread() {
		return new DefaultPlacementPolicy(PairPenalty.NONE);
	}

}
