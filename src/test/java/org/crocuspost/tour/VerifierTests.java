package org.crocuspost.tour;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.settings.DeploymentSettings.EndpointStandIn;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;
import org.crocuspost.standin.endpoint.ExecutedRequest;
import org.crocuspost.standin.worker.RunRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class VerifierTests {

	private static final Resources CAPACITY = new Resources(1000, 1000, 0);

	private static final List<WorkerHost> HOSTS = Stream.of("a", "b")
		.map((name) -> new WorkerHost(name, "domain-" + name, "rack", CAPACITY, Resources.NONE,
				new EndpointStandIn(name, "service", 8, 64, Duration.ZERO)))
		.toList();

	private static final DomainOutage OUTAGE = new DomainOutage("domain-a", at(100), at(200));

	static Stream<RequestCase> requestCases() {
		return Stream.of(new RequestCase("answered once", List.of(call("x", 200, "ran", true)), List.of("x"), ""),
				new RequestCase("reported as not run and not run", List.of(call("x", 503, "not-run", true)), List.of(),
						""),
				new RequestCase("reported as may have run and run", List.of(call("x", 504, "may-have-run", true)),
						List.of("x"), ""),
				new RequestCase("run twice", List.of(call("x", 200, "ran", true)), List.of("x", "x"),
						"a non-idempotent request runs at most once"),
				new RequestCase("reported as not run but run", List.of(call("x", 503, "not-run", true)), List.of("x"),
						"a request reported as \"not run\" did not run"),
				new RequestCase("reported as ran but not run", List.of(call("x", 200, "ran", true)), List.of(),
						"a request reported as \"ran\" has run"),
				new RequestCase("answer of another request", List.of(call("x", 200, "ran", false)), List.of("x"),
						"each answer is complete and matches its request"),
				new RequestCase("no answer", List.of(call("x", 0, "", false)), List.of(),
						"every caller gets an answer"));
	}

	static Stream<TaskCase> taskCases() {
		return Stream.of(new TaskCase("evicted and resumed",
				List.of(run("a", 1, 0, 10, 0, 10, Phase.STOPPED), run("b", 2, 11, 20, 10, 19, Phase.SUCCEEDED)), ""),
				new TaskCase("overlapping attempts",
						List.of(run("a", 1, 0, 10, 0, 10, Phase.STOPPED), run("b", 2, 9, 20, 10, 21, Phase.SUCCEEDED)),
						"a task never runs in two places at once"),
				new TaskCase("succeeded twice",
						List.of(run("a", 1, 0, 10, 0, 10, Phase.SUCCEEDED),
								run("b", 2, 11, 20, 10, 19, Phase.SUCCEEDED)),
						"a task succeeds at most once"),
				new TaskCase("progress lost",
						List.of(run("a", 1, 0, 10, 0, 10, Phase.STOPPED), run("b", 2, 11, 20, 5, 14, Phase.SUCCEEDED)),
						"an evicted task resumes from its checkpoint"),
				new TaskCase("capacity exceeded",
						List.of(run("a", 1, 0, 10, 0, 10, Phase.SUCCEEDED),
								new RunRecord("a", new AttemptKey("other", 1), "job", CAPACITY, at(5), at(9),
										Duration.ZERO, Duration.ofSeconds(4), Phase.SUCCEEDED)),
						"no worker is allocated more than its capacity"),
				new TaskCase("start in the domain out of service",
						List.of(run("a", 1, 150, 160, 0, 10, Phase.SUCCEEDED)),
						"no task starts in a failure domain out of service"),
				new TaskCase("start in another domain during the outage",
						List.of(run("b", 1, 150, 160, 0, 10, Phase.SUCCEEDED)), ""));
	}

	@ParameterizedTest
	@MethodSource("requestCases")
	void requestVerifierReportsExactlyTheViolatedGuarantee(RequestCase testCase) {
		List<ExecutedRequest> ledger = testCase.ledger()
			.stream()
			.map((marker) -> new ExecutedRequest("", "POST", "/path/" + marker, marker))
			.toList();
		assertThat(violatedGuarantees(new RequestVerifier(testCase.calls(), ledger).verify()))
			.isEqualTo(testCase.violatedGuarantee());
	}

	@ParameterizedTest
	@MethodSource("taskCases")
	void taskVerifierReportsExactlyTheViolatedGuarantee(TaskCase testCase) {
		TaskVerifier verifier = new TaskVerifier(HOSTS, Set.of("job"), testCase.runs());
		assertThat(violatedGuarantees(verifier.verify(OUTAGE))).isEqualTo(testCase.violatedGuarantee());
	}

	private static String violatedGuarantees(List<Finding> findings) {
		return String.join(", ",
				findings.stream().filter((finding) -> !finding.kept()).map(Finding::guarantee).toList());
	}

	private static CallRecord call(String marker, int status, String verdict, boolean answerMatches) {
		return new CallRecord(marker, false, status, verdict, answerMatches, Duration.ofMillis(1));
	}

	private static RunRecord run(String worker, long attempt, long start, long end, long startProgress, long progress,
			Phase phase) {
		return new RunRecord(worker, new AttemptKey("task", attempt), "job", CAPACITY, at(start), at(end),
				Duration.ofSeconds(startProgress), Duration.ofSeconds(progress), phase);
	}

	private static Instant at(long seconds) {
		return Instant.EPOCH.plusSeconds(seconds);
	}

	record RequestCase(String description, List<CallRecord> calls, List<String> ledger, String violatedGuarantee) {

		@Override
		public String toString() {
			return this.description;
		}

	}

	record TaskCase(String description, List<RunRecord> runs, String violatedGuarantee) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
