package org.crocuspost.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.worker.Resources;

/**
 * Resources to set aside for tasks, learned from use. The declared size holds until there
 * is evidence. A job that uses more than declared gets more at once; a job that uses less
 * gets less only after many measurements, and memory follows the largest use ever seen
 * because memory cannot be taken back from a running task.
 */
final class LearnedSizes {

	private static final int MEASUREMENTS_TO_SHRINK = 30;

	private static final double PROCESSOR_PERCENTILE = 95;

	private static final double PROCESSOR_HEADROOM = 1.1;

	private static final double MEMORY_HEADROOM = 1.25;

	private static final double TOLERANCE = 1.02;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final boolean enabled;

	private final Map<String, Use> uses = new HashMap<>();

	LearnedSizes(boolean enabled) {
		this.enabled = enabled;
	}

	synchronized void measured(String job, Resources used) {
		if (this.enabled && (used.memoryMebibytes() > 0 || used.milliCores() > 0)) {
			this.uses.computeIfAbsent(job, (name) -> new Use()).add(used);
		}
	}

	synchronized Resources sizeOf(JobSpecification job) {
		Use use = this.uses.get(job.name());
		return (use != null) ? use.apply(job.size()) : job.size();
	}

	synchronized void retain(Set<String> jobs) {
		this.uses.keySet().retainAll(jobs);
	}

	private static final class Use {

		private final Histogram milliCores = new Histogram(SIGNIFICANT_DIGITS);

		private final Histogram memory = new Histogram(SIGNIFICANT_DIGITS);

		private void add(Resources used) {
			this.milliCores.recordValue(used.milliCores());
			this.memory.recordValue(used.memoryMebibytes());
		}

		private Resources apply(Resources declared) {
			long processor = this.milliCores.getValueAtPercentile(PROCESSOR_PERCENTILE);
			return new Resources(bounded(declared.milliCores(), processor, PROCESSOR_HEADROOM),
					bounded(declared.memoryMebibytes(), this.memory.getMaxValue(), MEMORY_HEADROOM),
					declared.accelerators());
		}

		private long bounded(long declared, long used, double headroom) {
			long learned = Math.max(1, Math.round(used * headroom));
			if (used > declared * TOLERANCE) {
				return learned;
			}
			boolean evidence = this.memory.getTotalCount() >= MEASUREMENTS_TO_SHRINK;
			return evidence ? Math.min(declared, learned) : declared;
		}

	}

}
