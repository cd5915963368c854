package org.crocuspost.soak;

import java.util.List;

/**
 * Result of one soak run.
 *
 * @param seed the seed
 * @param faults the faults that were injected
 * @param submitted number of jobs that callers submitted
 * @param accepted number of jobs that were accepted
 * @param runs number of runs on the workers
 * @param crashes number of workers that tasks have crashed
 * @param violations descriptions of the violated guarantees; empty if all held
 */
record SoakReport(long seed, List<FaultPlan.Fault> faults, int submitted, int accepted, int runs, int crashes,
		List<String> violations) {

	/**
	 * Returns the faults as a text chart with one row per fault and one column per half
	 * second.
	 * @return the chart
	 */
	String timeline() {
		StringBuilder chart = new StringBuilder();
		for (FaultPlan.Fault fault : this.faults) {
			int from = (int) (fault.startMillis() / 500);
			int columns = (int) Math.max(1, fault.durationMillis() / 500);
			chart.append("%24s %s%s%n".formatted(fault.kind(), " ".repeat(from), "#".repeat(columns)));
		}
		return chart.toString();
	}

	String summaryLine() {
		return "%20d %6d %9d %8d %6d %7d  %s".formatted(this.seed, this.faults.size(), this.submitted, this.accepted,
				this.runs, this.crashes, this.violations.isEmpty() ? "passed" : this.violations.size() + " violations");
	}

}
