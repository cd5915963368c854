package org.crocuspost.timeline;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Timeline of one job, built from the logs of all processes. It contains, in order of
 * time, the log lines of the job and, as context, the lines about changes that the
 * processes observed in the leader, the store, the operator's settings and the hosts of
 * the job's tasks, and those that say why a task of the job is not known to run.
 */
public final class JobTimeline {

	/**
	 * Events that are context for every job, since they may explain why it waited.
	 */
	private static final Set<String> CONTEXT_EVENTS = Set.of("leadership-won", "leadership-lost", "leadership-resigned",
			"state-restored", "record-delayed", "record-regained", "row-watch-lost", "row-watch-regained",
			"row-history-lost", "inherited-hosts-checked", "configuration-in-force", "failure-domains-out",
			"readiness-changed", "log-lines-dropped");

	/**
	 * Events of a host that are context for the jobs whose tasks were assigned to it.
	 */
	private static final Set<String> HOST_EVENTS = Set.of("host-changed", "worker-crashed");

	/**
	 * Event whose lines name tasks of several jobs.
	 */
	private static final String TASKS_EVENT = "tasks-unavailable";

	/**
	 * Time before the first line of the job from which context lines are included, since
	 * a change shortly before may still affect the job.
	 */
	private static final Duration LOOKBACK = Duration.ofSeconds(3);

	private final String jobId;

	private final List<LogLine> lines;

	private JobTimeline(String jobId, List<LogLine> lines) {
		this.jobId = jobId;
		this.lines = List.copyOf(lines);
	}

	/**
	 * Builds the timeline of a job.
	 * @param jobId the ID of the job
	 * @param log all log lines, in any order
	 * @return the timeline, or empty if no line concerns the job
	 */
	public static Optional<JobTimeline> of(String jobId, List<LogLine> log) {
		List<LogLine> jobLines = log.stream().filter((line) -> concerns(jobId, line)).sorted(byTime()).toList();
		if (jobLines.isEmpty()) {
			return Optional.empty();
		}
		Instant from = jobLines.get(0).time().minus(LOOKBACK);
		Instant until = jobLines.get(jobLines.size() - 1).time();
		Set<String> hosts = new LinkedHashSet<>();
		jobLines.stream().map((line) -> line.field("host")).filter((host) -> !host.isEmpty()).forEach(hosts::add);
		List<LogLine> lines = new ArrayList<>(jobLines);
		for (LogLine line : log) {
			boolean isContext = CONTEXT_EVENTS.contains(line.event());
			boolean concernsJobHost = HOST_EVENTS.contains(line.event()) && hosts.contains(line.field("host"));
			boolean namesTask = line.event().equals(TASKS_EVENT) && line.field("named").contains(jobId + '.');
			if ((isContext || concernsJobHost || namesTask) && !concerns(jobId, line) && !line.time().isBefore(from)
					&& !line.time().isAfter(until)) {
				lines.add(line);
			}
		}
		lines.sort(byTime());
		return Optional.of(new JobTimeline(jobId, lines));
	}

	private static Comparator<LogLine> byTime() {
		return Comparator.comparing(LogLine::time);
	}

	private static boolean concerns(String jobId, LogLine line) {
		return line.field("job").equals(jobId) || line.field("task").startsWith(jobId + '.');
	}

	/**
	 * Returns the log lines in order of time.
	 * @return the lines
	 */
	public List<LogLine> lines() {
		return this.lines;
	}

	/**
	 * Summarizes the outcome of the job, the outcomes of its runs and its longest wait.
	 * @return the sentences
	 */
	public List<String> summary() {
		List<LogLine> jobLines = this.lines.stream().filter((line) -> concerns(this.jobId, line)).toList();
		List<String> sentences = new ArrayList<>();
		sentences.add(outcome(jobLines));
		Map<String, Integer> outcomes = new TreeMap<>();
		jobLines.stream()
			.filter((line) -> line.event().equals("run-ended") || line.event().equals("run-lost"))
			.forEach((line) -> outcomes.merge(line.field("outcome"), 1, Integer::sum));
		if (!outcomes.isEmpty()) {
			sentences.add("Outcomes of its runs: " + outcomes + ".");
		}
		longestWait(jobLines).ifPresent(sentences::add);
		return sentences;
	}

	private static String outcome(List<LogLine> jobLines) {
		Instant start = jobLines.get(0).time();
		for (LogLine line : jobLines) {
			if (line.event().equals("job-ended")) {
				return "Reported as " + line.field("state") + " after " + formatSeconds(start, line.time()) + " s: "
						+ line.field("reason") + ".";
			}
		}
		boolean accepted = jobLines.stream().anyMatch((line) -> line.event().equals("job-accepted"));
		for (LogLine line : jobLines) {
			if (line.event().equals("job-refused") && !accepted) {
				return "Refused (" + line.field("verdict") + "): " + line.field("reason") + ".";
			}
		}
		return accepted ? "Accepted, but not ended by the end of the logs." : "Not ended by the end of the logs.";
	}

	private static Optional<String> longestWait(List<LogLine> jobLines) {
		Duration longest = Duration.ZERO;
		int after = -1;
		for (int index = 1; index < jobLines.size(); index++) {
			Duration wait = Duration.between(jobLines.get(index - 1).time(), jobLines.get(index).time());
			if (wait.compareTo(longest) > 0) {
				longest = wait;
				after = index - 1;
			}
		}
		if (after < 0) {
			return Optional.empty();
		}
		return Optional.of("Longest gap between its log lines: "
				+ formatSeconds(jobLines.get(after).time(), jobLines.get(after + 1).time()) + " s between "
				+ jobLines.get(after).event() + " and " + jobLines.get(after + 1).event() + ".");
	}

	/**
	 * Formats a time span in seconds.
	 * @param from the start of the span
	 * @param until the end of the span
	 * @return the seconds with three decimals
	 */
	public static String formatSeconds(Instant from, Instant until) {
		return "%.3f".formatted(Duration.between(from, until).toNanos() / 1e9);
	}

}
