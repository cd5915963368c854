package org.crocuspost.tour;

import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.crocuspost.report.BurnReport;
import org.crocuspost.report.BurnWindow;

/**
 * Report of a tour.
 *
 * @param steps the steps in order
 * @param findings the result of checking each guarantee
 * @param calls the results that the callers observed
 * @param burn the consumption of the error budgets, one report for each service
 */
public record TourReport(List<TourStep> steps, List<Finding> findings, List<CallRecord> calls, List<BurnReport> burn) {

	private static final String NO_ANSWER = "no answer";

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MICROSECONDS_PER_MILLISECOND = 1000.0;

	public TourReport {
		steps = List.copyOf(steps);
		findings = List.copyOf(findings);
		calls = List.copyOf(calls);
		burn = List.copyOf(burn);
	}

	/**
	 * Returns whether every step was completed in time and no guarantee was violated.
	 * @return whether the tour passed
	 */
	public boolean passed() {
		return this.steps.stream().allMatch(TourStep::done) && this.findings.stream().allMatch(Finding::kept);
	}

	/**
	 * Formats the report as text.
	 * @return the tables, with the result on the last line
	 */
	public String text() {
		StringBuilder text = new StringBuilder("\nSteps\n");
		this.steps.forEach((step) -> appendLine(text, step.done(), step.name(), step.ended().toString()));
		text.append("\nGuarantees, checked against the records of callers, endpoints and workers\n");
		this.findings.forEach((finding) -> appendLine(text, finding.kept(), finding.guarantee(), finding.evidence()));
		text.append("\nVerdicts\n");
		countVerdicts().forEach((verdict, count) -> text.append("  %-14s %6d%n".formatted(verdict, count)));
		text.append("\nLatency observed by callers, milliseconds\n").append(latencyText());
		text.append("\nError budget burn\n");
		this.burn.forEach((report) -> text.append(burnText(report)));
		return text.append("\ntour: ").append(passed() ? "passed" : "failed").append('\n').toString();
	}

	private static void appendLine(StringBuilder text, boolean ok, String name, String detail) {
		text.append("  %-4s %-50s %s%n".formatted(ok ? "ok" : "FAIL", name, detail));
	}

	private TreeMap<String, Long> countVerdicts() {
		return this.calls.stream()
			.map((call) -> call.verdict().isEmpty() ? NO_ANSWER : call.verdict())
			.collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
	}

	private String latencyText() {
		Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
		this.calls.forEach((call) -> histogram.recordValue(call.latency().toNanos() / 1000));
		return "  median %.1f, 99th percentile %.1f, longest %.1f%n".formatted(
				histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
				histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
				histogram.getMaxValue() / MICROSECONDS_PER_MILLISECOND);
	}

	private static String burnText(BurnReport report) {
		BurnWindow window = report.windows().get(0);
		return "  %s: %d requests in %d min, availability burn %.2f, latency burn %.2f, budgets left %.0f%% and %.0f%%%n"
			.formatted(report.service(), window.total(), window.length().toMinutes(), window.availabilityBurn(),
					window.latencyBurn(), 100 * report.availabilityBudgetLeft(), 100 * report.latencyBudgetLeft());
	}

	/**
	 * Adds up the reports of several entries for the same service.
	 * @param reports the reports of all entries
	 * @return one report for each service
	 */
	static List<BurnReport> combineByService(List<BurnReport> reports) {
		return List.copyOf(reports.stream()
			.collect(Collectors.toMap(BurnReport::service, Function.identity(), BurnReport::plus, TreeMap::new))
			.values());
	}

	/**
	 * Returns the duration of the tour.
	 * @return the time between the ends of the first and the last step
	 */
	public Duration duration() {
		return Duration.between(this.steps.get(0).ended(), this.steps.get(this.steps.size() - 1).ended());
	}

}
