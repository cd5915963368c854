package org.crocuspost.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs every policy on every workload of a deployment: one workload for each combination
 * of interference function and seed.
 */
final class PolicyComparison {

	private static final long HELD_OUT_SEED_OFFSET = 1000;

	private final Deployment deployment;

	private final boolean heldOut;

	private final int seeds;

	PolicyComparison(Deployment deployment, boolean heldOut, int seeds) {
		this.deployment = deployment;
		this.heldOut = heldOut;
		this.seeds = seeds;
	}

	PolicyReport run(int threads) throws InterruptedException {
		ExecutorService executor = Executors.newFixedThreadPool(threads);
		try {
			List<Future<RunResult>> futures = new ArrayList<>();
			for (PolicyRun run : runs()) {
				futures.add(executor.submit(run::run));
			}
			List<RunResult> results = new ArrayList<>();
			for (Future<RunResult> future : futures) {
				results.add(future.get());
			}
			return PolicyReport.of(this.deployment, this.heldOut, this.seeds, results);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
		finally {
			executor.shutdownNow();
		}
	}

	private List<PolicyRun> runs() {
		List<PolicyRun> runs = new ArrayList<>();
		List<InterferenceFunction> functions = Arrays.stream(InterferenceFunction.values())
			.filter((function) -> function.heldOut() == this.heldOut)
			.toList();
		for (InterferenceFunction function : functions) {
			for (long seed = 1; seed <= this.seeds; seed++) {
				for (PolicyKind kind : PolicyKind.values()) {
					long offset = this.heldOut ? HELD_OUT_SEED_OFFSET : 0;
					runs.add(new PolicyRun(this.deployment, kind, function, seed + offset));
				}
			}
		}
		return runs;
	}

}
