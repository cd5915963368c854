package org.crocuspost.tour;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.crocuspost.error.Verdict;
import org.crocuspost.standin.endpoint.ExecutedRequest;

/**
 * Compares the responses that callers received with the requests that endpoints ran.
 */
final class RequestVerifier {

	private final Collection<CallRecord> calls;

	private final Map<String, Long> runs;

	/**
	 * Creates a verifier.
	 * @param calls the results that callers observed
	 * @param ledger the requests that all endpoints ran
	 */
	RequestVerifier(Collection<CallRecord> calls, Collection<ExecutedRequest> ledger) {
		this.calls = calls;
		this.runs = ledger.stream()
			.map((entry) -> entry.target().substring(entry.target().lastIndexOf('/') + 1))
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

	List<Finding> verify() {
		return List.of(checkEveryCallAnswered(), checkAnswersMatchRequests(), checkAtMostOnce(), checkNotRunVerdicts(),
				checkRanVerdicts());
	}

	private Finding checkEveryCallAnswered() {
		long unanswered = this.calls.stream().filter((call) -> call.status() == 0).count();
		return Finding.of("every caller gets an answer", unanswered, this.calls.size() + " requests");
	}

	private Finding checkAnswersMatchRequests() {
		long mismatched = this.calls.stream().filter((call) -> call.succeeded() && !call.answerMatches()).count();
		return Finding.of("each answer is complete and matches its request", mismatched,
				this.calls.size() + " requests");
	}

	private Finding checkAtMostOnce() {
		List<CallRecord> nonIdempotent = this.calls.stream().filter((call) -> !call.idempotent()).toList();
		long repeated = nonIdempotent.stream().filter((call) -> runsOf(call) > 1).count();
		return Finding.of("a non-idempotent request runs at most once", repeated, nonIdempotent.size() + " requests");
	}

	private Finding checkNotRunVerdicts() {
		List<CallRecord> refused = callsWithVerdict(Verdict.NOT_RUN);
		long contradicted = refused.stream().filter((call) -> runsOf(call) > 0).count();
		return Finding.of("a request reported as \"not run\" did not run", contradicted, refused.size() + " refusals");
	}

	private Finding checkRanVerdicts() {
		List<CallRecord> ran = callsWithVerdict(Verdict.RAN);
		long contradicted = ran.stream().filter((call) -> runsOf(call) == 0).count();
		return Finding.of("a request reported as \"ran\" has run", contradicted, ran.size() + " answers");
	}

	private List<CallRecord> callsWithVerdict(Verdict verdict) {
		return this.calls.stream().filter((call) -> call.verdict().equals(verdict.label())).toList();
	}

	private long runsOf(CallRecord call) {
		return this.runs.getOrDefault(call.marker(), 0L);
	}

}
