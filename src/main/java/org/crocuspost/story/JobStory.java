package org.crocuspost.story;

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
 * All that the logs say about one job, in order of time: its own lines, and between them
 * what the processes came to believe of the leader, the store, the operator and the hosts
 * that the job's tasks were on.
 */
public final class JobStory {

	/**
	 * Changes of belief that may explain a wait of any job.
	 */
	private static final Set<String> COMMON_EVENTS = Set.of("leadership-won", "leadership-lost", "leadership-resigned",
			"state-restored", "record-delayed", "record-regained", "row-watch-lost", "row-watch-regained",
			"row-history-lost", "configuration-in-force", "failure-domains-out", "readiness-changed",
			"log-lines-dropped");

	/**
	 * Changes before the first line of the job that may still matter to it.
	 */
	private static final Duration BEFORE = Duration.ofSeconds(3);

	private final String job;

	private final List<LogLine> lines;

	private JobStory(String job, List<LogLine> lines) {
		this.job = job;
		this.lines = List.copyOf(lines);
	}

	/**
	 * Puts a story together.
	 * @param job the identity of the job
	 * @param log all lines, in any order
	 * @return the story, or empty if no line is about the job
	 */
	public static Optional<JobStory> of(String job, List<LogLine> log) {
		List<LogLine> own = log.stream().filter((line) -> about(job, line)).sorted(byTime()).toList();
		if (own.isEmpty()) {
			return Optional.empty();
		}
		Instant from = own.get(0).time().minus(BEFORE);
		Instant until = own.get(own.size() - 1).time();
		Set<String> hosts = new LinkedHashSet<>();
		own.stream().map((line) -> line.field("host")).filter((host) -> !host.isEmpty()).forEach(hosts::add);
		List<LogLine> lines = new ArrayList<>(own);
		for (LogLine line : log) {
			boolean common = COMMON_EVENTS.contains(line.event());
			boolean ofHost = line.event().equals("host-changed") && hosts.contains(line.field("host"));
			if ((common || ofHost) && !about(job, line) && !line.time().isBefore(from) && !line.time().isAfter(until)) {
				lines.add(line);
			}
		}
		lines.sort(byTime());
		return Optional.of(new JobStory(job, lines));
	}

	private static Comparator<LogLine> byTime() {
		return Comparator.comparing(LogLine::time);
	}

	private static boolean about(String job, LogLine line) {
		return line.field("job").equals(job) || line.field("task").startsWith(job + '.');
	}

	/**
	 * Returns the lines in order of time.
	 * @return the lines
	 */
	public List<LogLine> lines() {
		return this.lines;
	}

	/**
	 * Says in a few sentences what became of the job, and where its longest wait was.
	 * @return the sentences
	 */
	public List<String> summary() {
		List<LogLine> own = this.lines.stream().filter((line) -> about(this.job, line)).toList();
		List<String> sentences = new ArrayList<>();
		sentences.add(fate(own));
		Map<String, Integer> outcomes = new TreeMap<>();
		own.stream()
			.filter((line) -> line.event().equals("run-ended") || line.event().equals("run-lost"))
			.forEach((line) -> outcomes.merge(line.field("outcome"), 1, Integer::sum));
		if (!outcomes.isEmpty()) {
			sentences.add("Ends of its runs: " + outcomes + ".");
		}
		longestWait(own).ifPresent(sentences::add);
		return sentences;
	}

	private static String fate(List<LogLine> own) {
		Instant begin = own.get(0).time();
		for (LogLine line : own) {
			if (line.event().equals("job-ended")) {
				return "Shown as " + line.field("state") + " after " + seconds(begin, line.time()) + " s: "
						+ line.field("reason") + ".";
			}
		}
		boolean accepted = own.stream().anyMatch((line) -> line.event().equals("job-accepted"));
		for (LogLine line : own) {
			if (line.event().equals("job-refused") && !accepted) {
				return "Refused (" + line.field("verdict") + "): " + line.field("reason") + ".";
			}
		}
		return accepted ? "Accepted, and not ended when the log ends." : "Not ended when the log ends.";
	}

	private static Optional<String> longestWait(List<LogLine> own) {
		Duration longest = Duration.ZERO;
		int after = -1;
		for (int index = 1; index < own.size(); index++) {
			Duration wait = Duration.between(own.get(index - 1).time(), own.get(index).time());
			if (wait.compareTo(longest) > 0) {
				longest = wait;
				after = index - 1;
			}
		}
		if (after < 0) {
			return Optional.empty();
		}
		return Optional
			.of("Longest time without a line of its own: " + seconds(own.get(after).time(), own.get(after + 1).time())
					+ " s between " + own.get(after).event() + " and " + own.get(after + 1).event() + ".");
	}

	/**
	 * Returns a span as text.
	 * @param from its begin
	 * @param until its end
	 * @return seconds with three digits
	 */
	public static String seconds(Instant from, Instant until) {
		return "%.3f".formatted(Duration.between(from, until).toNanos() / 1e9);
	}

}
