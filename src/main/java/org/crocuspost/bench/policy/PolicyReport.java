package org.crocuspost.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Result of a comparison of policies.
 *
 * @param deployment the name of the deployment
 * @param weights the weights of the measures in the figure of merit
 * @param heldOut whether held-out functions and seeds were used
 * @param seeds the number of seeds for each interference function
 * @param policies the measures of each policy over its runs
 * @param runs the measures of each run
 */
record PolicyReport(String deployment, MeritWeights weights, boolean heldOut, int seeds, List<PolicySummary> policies,
		List<RunResult> runs) {

	static PolicyReport of(Deployment deployment, boolean heldOut, int seeds, List<RunResult> runs) {
		List<PolicySummary> summaries = new ArrayList<>();
		List<Scores> learnedScores = scores(PolicyKind.LEARNED, runs, deployment.weights());
		for (PolicyKind kind : PolicyKind.values()) {
			List<Scores> scores = scores(kind, runs, deployment.weights());
			double[] behindLearned = new double[scores.size()];
			for (int i = 0; i < behindLearned.length; i++) {
				behindLearned[i] = learnedScores.get(i).merit() - scores.get(i).merit();
			}
			int violations = runs.stream().filter((run) -> run.policy() == kind).mapToInt(RunResult::violations).sum();
			summaries.add(
					new PolicySummary(kind.label(), interval(scores, Scores::tail), interval(scores, Scores::wholeTail),
							interval(scores, Scores::throughput), interval(scores, Scores::evictions),
							interval(scores, Scores::evictionShare), interval(scores, Scores::domainWork),
							interval(scores, Scores::merit), ConfidenceInterval.of(behindLearned), violations));
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
		return new Scores.References(referenceRun(run, PolicyKind.BATCH_FREE, runs),
				referenceRun(run, PolicyKind.NO_CONTROL, runs), referenceRun(run, PolicyKind.EVICT_ON_BREACH, runs));
	}

	private static RunResult referenceRun(RunResult run, PolicyKind kind, List<RunResult> runs) {
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
