package org.crocuspost.daemon;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.interference.InterferenceMessages;
import org.crocuspost.interference.LearnedPairPenalty;
import org.crocuspost.interference.PairPenalties;
import org.crocuspost.interference.PairPenaltySettings;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.scheduler.WorkerReportListener;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

/**
 * Learns from the reports of workers which jobs slow which services, and makes such pairs
 * costly to place. Safe for use by several threads.
 */
final class SchedulerInterference implements WorkerReportListener, PairPenalty {

	private final PairPenalties penalties;

	private final LearnedPairPenalty learned;

	private final ConfigurationSource configurations;

	private final Map<String, String> services = new ConcurrentHashMap<>();

	SchedulerInterference(ConfigurationSource configurations, Clock clock) {
		this.configurations = configurations;
		this.penalties = new PairPenalties(PairPenaltySettings.DEFAULT, clock);
		this.learned = new LearnedPairPenalty(this.penalties,
				(worker) -> Optional.ofNullable(this.services.get(worker)), this::milliCores);
	}

	private long milliCores(String job) {
		JobSpecification specification = this.configurations.current().jobs().get(job);
		return (specification != null) ? specification.size().milliCores() : 0;
	}

	@Override
	public synchronized void reportReceived(WorkerReport report) {
		if (!report.getService().isEmpty()) {
			this.services.put(report.getWorker(), report.getService());
		}
		this.penalties.recordReport(report.getWorker(), InterferenceMessages.observations(report));
	}

	@Override
	public synchronized void completeReply(WorkerReport report, WorkerReportReply.Builder reply) {
		InterferenceMessages.addInterferenceData(this.penalties, report, reply);
	}

	@Override
	public synchronized double cost(String job, WorkerSnapshot worker) {
		return this.learned.cost(job, worker);
	}

}
