package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.wire.WorkerDescription;

/**
 * Estimates the capacity for fillers of each service from the reports of its hosts. The
 * number of workers without services changes within seconds, while a job takes several,
 * so the estimate is smoothed. Nothing is stored: a new leader begins without estimates.
 */
final class FillerCapacitySurvey {

	/**
	 * Time constant of the smoothing; about the run time of a step.
	 */
	static final Duration SMOOTHING = Duration.ofSeconds(3);

	/**
	 * Time after the first report of a host for which no estimate is given. Within it,
	 * all reachable hosts report to a new leader.
	 */
	static final Duration SETTLING = Duration.ofSeconds(2);

	/**
	 * Age beyond which a report is not taken into account.
	 */
	static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);

	/**
	 * Share of a worker that light fillers can use beside services. The placement leaves
	 * them a pressure of about 0.35, and a light image has a weight of about 1.5.
	 */
	private static final double MAXIMUM_SHARED = 0.25;

	/**
	 * Share of a worker below which the smoothed capacity of workers without services
	 * counts as none: none is foreseeable. A smoothed value never falls to 0 by itself.
	 */
	private static final double MINIMUM_EXCLUSIVE = 0.5;

	private static final double MILLIS = 1_000;

	private final Map<String, Estimate> estimates = new HashMap<>();

	/**
	 * Updates the estimate of a service.
	 * @param service the service
	 * @param candidates the hosts whose workers accept tasks of the service
	 * @param nowNanos the current time
	 */
	void observe(String service, Collection<CandidateHost> candidates, long nowNanos) {
		double exclusive = 0;
		double shared = 0;
		long oldest = nowNanos;
		WorkerDescription largest = WorkerDescription.getDefaultInstance();
		for (CandidateHost candidate : candidates) {
			HostState host = candidate.host();
			if (nowNanos - host.reportedNanos() > MAXIMUM_AGE.toNanos()) {
				continue;
			}
			oldest = Math.min(oldest, host.reportedNanos());
			double cores = Math.max(0, host.fillerMilliCores()) / MILLIS;
			if (host.runsService()) {
				shared += Math.min(cores, host.worker().getMilliCores() / MILLIS * MAXIMUM_SHARED);
			}
			else {
				exclusive += cores;
			}
			if (host.worker().getMilliCores() > largest.getMilliCores()) {
				largest = host.worker();
			}
		}
		if (largest.getMilliCores() == 0) {
			this.estimates.remove(service);
			return;
		}
		Estimate former = this.estimates.get(service);
		if (former == null || nowNanos - former.nanos() > MAXIMUM_AGE.toNanos()) {
			this.estimates.put(service, new Estimate(exclusive, shared, largest, oldest, nowNanos, nowNanos));
			return;
		}
		double weight = 1 - Math.exp(-(nowNanos - former.nanos()) / (double) SMOOTHING.toNanos());
		this.estimates.put(service, new Estimate(former.exclusive() + weight * (exclusive - former.exclusive()),
				former.shared() + weight * (shared - former.shared()), largest, oldest, former.sinceNanos(), nowNanos));
	}

	/**
	 * Returns the capacity for fillers of a service.
	 * @param service the service
	 * @param nowNanos the current time
	 * @return the capacity; empty if too few or only old reports are known
	 */
	Optional<FillerCapacity> find(String service, long nowNanos) {
		Estimate estimate = this.estimates.get(service);
		if (estimate == null || nowNanos - estimate.nanos() > MAXIMUM_AGE.toNanos()
				|| nowNanos - estimate.sinceNanos() < SETTLING.toNanos()) {
			return Optional.empty();
		}
		double worker = estimate.largest().getMilliCores() / MILLIS;
		double exclusive = (estimate.exclusive() < worker * MINIMUM_EXCLUSIVE) ? 0 : estimate.exclusive();
		return Optional
			.of(new FillerCapacity(exclusive, estimate.shared(), Duration.ofNanos(nowNanos - estimate.oldestNanos())));
	}

	private record Estimate(double exclusive, double shared, WorkerDescription largest, long oldestNanos,
			long sinceNanos, long nanos) {
	}

}
