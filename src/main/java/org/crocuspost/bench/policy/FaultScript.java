package org.crocuspost.bench.policy;

import java.util.SplittableRandom;

/**
 * Faults and operator actions of a benchmark run. All policies get the same ones for the
 * same seed. The domain window lasts from the step at which the failure domain is taken
 * out of service until its return counts as finished.
 *
 * @param domain the failure domain that is taken out of service and returned to service
 * @param domainOutFrom the step at which it is taken out of service
 * @param domainOutUntil the step at which it is returned to service
 * @param domainReturnUntil the step at which its return counts as finished
 * @param failedWorker the worker that fails and recovers
 * @param failedFrom the step at which it fails
 * @param failedUntil the step at which it recovers
 * @param brokenWorker the worker on which all tasks fail for a while
 * @param brokenFrom the first step at which its tasks fail
 * @param brokenUntil the step from which its tasks run again
 * @param cancelledJob the index of the job whose tasks are all cancelled at once
 * @param cancelStep the step of the cancellation
 */
record FaultScript(String domain, int domainOutFrom, int domainOutUntil, int domainReturnUntil, int failedWorker,
		int failedFrom, int failedUntil, int brokenWorker, int brokenFrom, int brokenUntil, int cancelledJob,
		int cancelStep) {

	private static final int WORKER_DOWN_SECONDS = 120;

	static FaultScript generate(Deployment deployment, long seed) {
		SplittableRandom random = new SplittableRandom(seed ^ 0x5deece66dL);
		int day = (int) deployment.day().toSeconds();
		String domain = deployment.domains().get(random.nextInt(deployment.domains().size()));
		int outStep = day + day * 9 / 24;
		int failureStep = random.nextInt(day * 2);
		int brokenStep = day * 14 / 24;
		return new FaultScript(domain, outStep, outStep + day * 4 / 24, outStep + day * 6 / 24,
				random.nextInt(deployment.workers()), failureStep, failureStep + WORKER_DOWN_SECONDS,
				random.nextInt(deployment.workers()), brokenStep, brokenStep + day * 4 / 24, random.nextInt(5),
				day + day * 3 / 24);
	}

	boolean isDomainOut(String name, int step) {
		return name.equals(this.domain) && step >= this.domainOutFrom && step < this.domainOutUntil;
	}

	boolean isWorkerBroken(int worker, int step) {
		return worker == this.brokenWorker && step >= this.brokenFrom && step < this.brokenUntil;
	}

	boolean isWorkerDown(int worker, int step) {
		return worker == this.failedWorker && step >= this.failedFrom && step < this.failedUntil;
	}

	boolean isInDomainWindow(int step) {
		return step >= this.domainOutFrom && step < this.domainReturnUntil;
	}

}
