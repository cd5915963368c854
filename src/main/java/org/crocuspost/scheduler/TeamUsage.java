package org.crocuspost.scheduler;

import java.util.HashMap;
import java.util.Map;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.TeamQuota;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.task.TaskRecord;
import org.jspecify.annotations.Nullable;

/**
 * Sums the resources that the tasks of each team use and compares them with the quotas.
 */
final class TeamUsage {

	private final Configuration configuration;

	private final Map<String, Resources> used = new HashMap<>();

	TeamUsage(Configuration configuration) {
		this.configuration = configuration;
	}

	void add(TaskRecord task) {
		JobSpecification job = this.configuration.jobs().get(task.job());
		if (job != null) {
			add(job, task.reserved());
		}
	}

	void add(JobSpecification job, Resources resources) {
		this.used.merge(job.team(), resources, Resources::plus);
	}

	boolean fitsRemainingQuota(JobSpecification job, Resources resources) {
		TeamQuota quota = quota(job);
		Resources inUse = this.used.getOrDefault(job.team(), Resources.NONE);
		return quota == null || inUse.plus(resources).fitsInto(quota.limit());
	}

	boolean fitsQuota(JobSpecification job, Resources resources) {
		TeamQuota quota = quota(job);
		return quota == null || resources.fitsInto(quota.limit());
	}

	private @Nullable TeamQuota quota(JobSpecification job) {
		return this.configuration.quotas().get(job.team());
	}

}
