package org.crocuspost.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.worker.Resources;

/**
 * Computes the resources to reserve for tasks from the measured usage of their job. The
 * declared size applies until there are measurements. A job that uses more than declared
 * is given more immediately; a job that uses less is given less only after many
 * measurements. Memory follows the highest usage ever measured because memory cannot be
 * taken back from a running task.
 */
final class LearnedSizes {

	private static final int MEASUREMENTS_TO_SHRINK = 30;

	private static final double CPU_PERCENTILE = 95;

	private static final double CPU_HEADROOM = 1.1;

	private static final double MEMORY_HEADROOM = 1.25;

	private static final double OVERUSE_TOLERANCE = 1.02;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final boolean enabled;

	private final Map<String, UsageHistograms> usageByJob = new HashMap<>();

	LearnedSizes(boolean enabled) {
		this.enabled = enabled;
	}

	synchronized void recordUsage(String job, Resources used) {
		if (this.enabled && (used.memoryMebibytes() > 0 || used.milliCores() > 0)) {
			this.usageByJob.computeIfAbsent(job, (name) -> new UsageHistograms()).addMeasurement(used);
		}
	}

	synchronized Resources sizeOf(JobSpecification job) {
		UsageHistograms usage = this.usageByJob.get(job.name());
		return (usage != null) ? usage.adjust(job.size()) : job.size();
	}

	synchronized void retainJobs(Set<String> jobs) {
		this.usageByJob.keySet().retainAll(jobs);
	}

	private static final class UsageHistograms {

		private final Histogram milliCores = new Histogram(SIGNIFICANT_DIGITS);

		private final Histogram memoryMebibytes = new Histogram(SIGNIFICANT_DIGITS);

		private void addMeasurement(Resources used) {
			this.milliCores.recordValue(used.milliCores());
			this.memoryMebibytes.recordValue(used.memoryMebibytes());
		}

		private Resources adjust(Resources declared) {
			long cpu = this.milliCores.getValueAtPercentile(CPU_PERCENTILE);
			return new Resources(adjustAmount(declared.milliCores(), cpu, CPU_HEADROOM),
					adjustAmount(declared.memoryMebibytes(), this.memoryMebibytes.getMaxValue(), MEMORY_HEADROOM),
					declared.accelerators());
		}

		private long adjustAmount(long declared, long used, double headroom) {
			long learned = Math.max(1, Math.round(used * headroom));
			if (used > declared * OVERUSE_TOLERANCE) {
				return learned;
			}
			boolean enoughMeasurements = this.memoryMebibytes.getTotalCount() >= MEASUREMENTS_TO_SHRINK;
			return enoughMeasurements ? Math.min(declared, learned) : declared;
		}

	}

}
