package org.crocuspost.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Result of a comparison of policies.
 *
 * @param deployment the name of the deployment
 * @param weights the weights in the figure of merit
 * @param heldOut whether held-out functions and seeds were used
 * @param seeds the number of seeds for each interference function
 * @param policies the measures of each policy
 * @param runs the single runs
 */
record PolicyReport(String deployment, MeritWeights weights, boolean heldOut, int seeds, List<PolicySummary> policies,
		List<RunResult> runs) {

	static PolicyReport of(Deployment deployment, boolean heldOut, int seeds, List<RunResult> runs) {
		List<PolicySummary> summaries = new ArrayList<>();
		List<Scores> learned = scores(PolicyKind.LEARNED, runs, deployment.weights());
		for (PolicyKind kind : PolicyKind.values()) {
			List<Scores> scores = scores(kind, runs, deployment.weights());
			double[] behind = new double[scores.size()];
			for (int i = 0; i < behind.length; i++) {
				behind[i] = learned.get(i).merit() - scores.get(i).merit();
			}
			int violations = runs.stream().filter((run) -> run.policy() == kind).mapToInt(RunResult::violations).sum();
			summaries.add(
					new PolicySummary(kind.label(), interval(scores, Scores::tail), interval(scores, Scores::wholeTail),
							interval(scores, Scores::throughput), interval(scores, Scores::evictions),
							interval(scores, Scores::evictionShare), interval(scores, Scores::domainWork),
							interval(scores, Scores::merit), ConfidenceInterval.of(behind), violations));
		}
		return new PolicyReport(deployment.name(), deployment.weights(), heldOut, seeds, summaries, runs);
	}

	private static List<Scores> scores(PolicyKind kind, List<RunResult> runs, MeritWeights weights) {
		return runs.stream()
			.filter((run) -> run.policy() == kind)
			.map((run) -> Scores.of(run, references(run, runs), weights))
			.toList();
	}

	private static Scores.References references(RunResult run, List<RunResult> runs) {
		return new Scores.References(same(run, PolicyKind.BATCH_FREE, runs), same(run, PolicyKind.NO_CONTROL, runs),
				same(run, PolicyKind.EVICT_ON_BREACH, runs));
	}

	private static RunResult same(RunResult run, PolicyKind kind, List<RunResult> runs) {
		return runs.stream()
			.filter((other) -> other.policy() == kind && other.seed() == run.seed()
					&& other.function() == run.function())
			.findFirst()
			.orElseThrow();
	}

	private static ConfidenceInterval interval(List<Scores> scores, ToDoubleFunction<Scores> measure) {
		return ConfidenceInterval.of(scores.stream().mapToDouble(measure).toArray());
	}

}
