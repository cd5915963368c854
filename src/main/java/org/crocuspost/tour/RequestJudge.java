package org.crocuspost.tour;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.crocuspost.error.Verdict;
import org.crocuspost.standin.endpoint.LedgerEntry;

/**
 * Compares what callers were told with what endpoints ran.
 */
final class RequestJudge {

	private final Collection<CallRecord> calls;

	private final Map<String, Long> runs;

	/**
	 * Creates a judge.
	 * @param calls what callers saw
	 * @param ledger what all endpoints ran
	 */
	RequestJudge(Collection<CallRecord> calls, Collection<LedgerEntry> ledger) {
		this.calls = calls;
		this.runs = ledger.stream()
			.map((entry) -> entry.target().substring(entry.target().lastIndexOf('/') + 1))
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

	List<Finding> findings() {
		return List.of(everyCallerAnswered(), ownAnswers(), atMostOnce(), notRunIsTrue(), ranIsTrue());
	}

	private Finding everyCallerAnswered() {
		long silent = this.calls.stream().filter((call) -> call.status() == 0).count();
		return Finding.of("every caller gets an answer", silent, this.calls.size() + " requests");
	}

	private Finding ownAnswers() {
		long foreign = this.calls.stream().filter((call) -> call.succeeded() && !call.ownAnswer()).count();
		return Finding.of("each answer is whole and the caller's own", foreign, this.calls.size() + " requests");
	}

	private Finding atMostOnce() {
		List<CallRecord> once = this.calls.stream().filter((call) -> !call.idempotent()).toList();
		long doubled = once.stream().filter((call) -> runsOf(call) > 1).count();
		return Finding.of("a non-idempotent request runs at most once", doubled, once.size() + " requests");
	}

	private Finding notRunIsTrue() {
		List<CallRecord> refused = told(Verdict.NOT_RUN);
		long untrue = refused.stream().filter((call) -> runsOf(call) > 0).count();
		return Finding.of("\"not run\" is true", untrue, refused.size() + " refusals");
	}

	private Finding ranIsTrue() {
		List<CallRecord> ran = told(Verdict.RAN);
		long untrue = ran.stream().filter((call) -> runsOf(call) == 0).count();
		return Finding.of("\"ran\" is true", untrue, ran.size() + " answers");
	}

	private List<CallRecord> told(Verdict verdict) {
		return this.calls.stream().filter((call) -> call.verdict().equals(verdict.label())).toList();
	}

	private long runsOf(CallRecord call) {
		return this.runs.getOrDefault(call.marker(), 0L);
	}

}
