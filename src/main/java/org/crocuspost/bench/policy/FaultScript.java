package org.crocuspost.bench.policy;

import java.util.SplittableRandom;

/**
 * Faults and operators' actions of a run; the same for every policy with the same seed.
 *
 * @param domain the failure domain that is taken out and brought back
 * @param domainOutFrom the step at which it is taken out
 * @param domainOutUntil the step at which it is brought back
 * @param returnUntil the step at which the return counts as finished
 * @param failedWorker a worker that dies and comes back
 * @param failedFrom the step at which it dies
 * @param failedUntil the step at which it comes back
 * @param brokenWorker a worker that fails everything it starts for a while
 * @param brokenFrom the step at which it begins to fail
 * @param brokenUntil the step at which it works again
 * @param cancelledJob the position of the job whose tasks are cancelled in a wave
 * @param cancelAt the step of the wave
 */
record FaultScript(String domain, int domainOutFrom, int domainOutUntil, int returnUntil, int failedWorker,
		int failedFrom, int failedUntil, int brokenWorker, int brokenFrom, int brokenUntil, int cancelledJob,
		int cancelAt) {

	private static final int WORKER_DOWN_SECONDS = 120;

	static FaultScript draw(Deployment deployment, long seed) {
		SplittableRandom random = new SplittableRandom(seed ^ 0x5deece66dL);
		int day = (int) deployment.day().toSeconds();
		String domain = deployment.domains().get(random.nextInt(deployment.domains().size()));
		int out = day + day * 9 / 24;
		int failed = random.nextInt(day * 2);
		int broken = day * 14 / 24;
		return new FaultScript(domain, out, out + day * 4 / 24, out + day * 6 / 24,
				random.nextInt(deployment.workers()), failed, failed + WORKER_DOWN_SECONDS,
				random.nextInt(deployment.workers()), broken, broken + day * 4 / 24, random.nextInt(5),
				day + day * 3 / 24);
	}

	boolean domainOut(String name, int step) {
		return name.equals(this.domain) && step >= this.domainOutFrom && step < this.domainOutUntil;
	}

	boolean broken(int worker, int step) {
		return worker == this.brokenWorker && step >= this.brokenFrom && step < this.brokenUntil;
	}

	boolean down(int worker, int step) {
		return worker == this.failedWorker && step >= this.failedFrom && step < this.failedUntil;
	}

	boolean domainWindow(int step) {
		return step >= this.domainOutFrom && step < this.returnUntil;
	}

}
