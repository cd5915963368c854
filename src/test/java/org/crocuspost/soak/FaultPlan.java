package org.crocuspost.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Generates the faults of one soak run from a seed. Faults may repeat in a series and may
 * overlap.
 */
final class FaultPlan {

	private static final int MEAN_INTERVAL_MILLIS = 1_600;

	private static final int DURATION_RANGE_MILLIS = 5_000;

	private FaultPlan() {
	}

	static List<Fault> generate(RandomGenerator random, Duration faultPeriod) {
		List<Fault> faults = new ArrayList<>();
		long start = 2_000;
		while (start < faultPeriod.toMillis()) {
			Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
			int repetitions = (random.nextInt(3) == 0) ? 2 + random.nextInt(2) : 1;
			for (int repeat = 0; repeat < repetitions; repeat++) {
				long duration = 300 + random.nextInt(DURATION_RANGE_MILLIS);
				faults.add(new Fault(start + repeat * 700L, kind, random.nextInt(1_000),
						Math.min(duration, faultPeriod.toMillis() - Math.min(start, faultPeriod.toMillis() - 300))));
			}
			start += random.nextInt(2 * MEAN_INTERVAL_MILLIS);
		}
		faults.sort(Comparator.comparingLong(Fault::startMillis));
		return faults;
	}

	/**
	 * A planned fault.
	 *
	 * @param startMillis start of the fault in milliseconds after the plan is scheduled
	 * @param kind the kind of fault
	 * @param target a random number that selects the target among those of its kind
	 * @param durationMillis duration of the fault in milliseconds
	 */
	record Fault(long startMillis, Kind kind, int target, long durationMillis) {
	}

	/**
	 * Kind of fault.
	 */
	enum Kind {

		ENTRY_KILLED, ENTRY_TERMINATED, ENTRY_PAUSED, AGENT_KILLED, AGENT_PAUSED, AGENT_TERMINATED, ALL_KILLED,
		SETTINGS_RELOADED, STORE_DOWN, STORE_REFUSING, STORE_SLOW, STORE_ANSWERS_LOST, STORE_HISTORY_FORGOTTEN,
		ENTRY_CUT_FROM_STORE, AGENT_CUT_FROM_STORE, HOST_SILENT, HOST_ONE_WAY, HOST_RESET, HOST_DELAYED, CALLERS_RESET,
		WORKER_RESTARTED, WORKER_RENAMED, WORKER_LATE, DOMAIN_OUT, CONFIGURED

	}

}
