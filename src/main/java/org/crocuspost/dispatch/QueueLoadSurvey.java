package org.crocuspost.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.Queue;
import org.crocuspost.wire.RunningTask;

/**
 * Sums up the work that has not ended, by queue.
 */
final class QueueLoadSurvey {

	private final long nowNanos;

	private final Map<String, QueueLoad> loads = new TreeMap<>();

	private final Map<String, String> queuesOfJobs = new HashMap<>();

	QueueLoadSurvey(long nowNanos) {
		this.nowNanos = nowNanos;
	}

	void add(TrackedJob tracked, Queue queue) {
		JobProgress job = tracked.job();
		this.queuesOfJobs.put(job.id(), queue.name());
		boolean begun = tracked.begun();
		boolean late = begun && !job.submission().specification().longRunning() && tracked.age(this.nowNanos)
			.compareTo(WaitingOrder.objective(queue, job.submission().specification())) > 0;
		add(new QueueLoad(queue.name(), begun ? 0 : 1, begun ? 1 : 0, late ? 1 : 0,
				begun ? job.unfinishedTaskCount() : 0, 0, 0, 0));
	}

	void add(Placement placement) {
		String queue = this.queuesOfJobs.get(placement.task().key().job());
		if (queue == null) {
			return;
		}
		RunningTask report = placement.report();
		boolean filler = placement.task().step().filler();
		add(new QueueLoad(queue, 0, 0, 0, 0, 1, placement.task().step().milliCores(),
				(filler && report != null) ? report.getLoad() : 0));
	}

	private void add(QueueLoad load) {
		this.loads.merge(load.queue(), load, QueueLoad::plus);
	}

	Collection<QueueLoad> loads() {
		return List.copyOf(this.loads.values());
	}

}
