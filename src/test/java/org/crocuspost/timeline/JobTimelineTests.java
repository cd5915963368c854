package org.crocuspost.timeline;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the timeline of a job that is built from logs.
 */
class JobTimelineTests {

	private static final String JOB = "0123456789abcdef";

	private static LogLine line(String second, String event, String fields) {
		String text = "12.5 side-3 {\"time\":\"2026-12-01T00:00:%sZ\",\"event\":\"%s\"%s}".formatted(second, event,
				fields);
		return LogLine.parse(text).orElseThrow();
	}

	private static String ofJob(String fields) {
		return ",\"job\":\"" + JOB + "\"" + fields;
	}

	private static final List<LogLine> LOG = List.of(line("10.0", "job-accepted", ofJob("")),
			line("18.5", "job-seen", ofJob("")), line("13.1", "leadership-won", ",\"epoch\":\"4\""),
			line("18.6", "task-placed", ofJob(",\"host\":\"side-3\"")),
			line("18.9", "host-changed", ",\"host\":\"side-3\",\"belief\":\"suspected\""),
			line("18.9", "host-changed", ",\"host\":\"side-4\",\"belief\":\"suspected\""),
			line("18.95", "worker-crashed", ",\"host\":\"side-3\",\"runs\":\"3\""),
			line("18.95", "worker-crashed", ",\"host\":\"side-4\",\"runs\":\"3\""),
			line("19.0", "job-accepted", ",\"job\":\"ffffffffffffffff\""),
			line("19.2", "pace-changed", ",\"task\":\"" + JOB + ".0.0.1\",\"pace\":\"50\""),
			line("19.5", "run-lost", ofJob(",\"outcome\":\"lease lapsed\"")),
			line("20.0", "run-ended", ofJob(",\"outcome\":\"done\"")),
			line("20.1", "job-ended", ofJob(",\"state\":\"completed\",\"reason\":\"all tasks are done\"")),
			line("25.0", "leadership-won", ",\"epoch\":\"5\""));

	@Test
	void theLinesOfAJobAndTheirContextAreInOrderOfTime() {
		JobTimeline timeline = JobTimeline.of(JOB, LOG).orElseThrow();
		assertThat(timeline.lines()).extracting(LogLine::event)
			.containsExactly("job-accepted", "leadership-won", "job-seen", "task-placed", "host-changed",
					"worker-crashed", "pace-changed", "run-lost", "run-ended", "job-ended");
		assertThat(timeline.lines().get(4).field("host")).isEqualTo("side-3");
	}

	/**
	 * Guards against a timeline that does not tell why a long-running task is down: the
	 * lines that do name tasks of several jobs.
	 */
	@Test
	void linesOnUnavailableTasksAreContextOfTheJobsThatTheyName() {
		String named = ",\"named\":\"[%s.0.0.0 run 1 on side-3 no-room for 900 ms, evidence 40 ms old]\"";
		List<LogLine> log = List.of(line("10.0", "job-seen", ofJob("")),
				line("11.0", "tasks-unavailable", named.formatted(JOB)),
				line("12.0", "tasks-unavailable", named.formatted("ffffffffffffffff")),
				line("13.0", "inherited-hosts-checked", ",\"withoutReport\":\"1\""),
				line("14.0", "task-regained", ofJob(",\"run\":\"2\"")));
		assertThat(JobTimeline.of(JOB, log).orElseThrow().lines()).extracting(LogLine::event)
			.containsExactly("job-seen", "tasks-unavailable", "inherited-hosts-checked", "task-regained");
	}

	@Test
	void theSummaryContainsTheOutcomeAndTheLongestWait() {
		JobTimeline timeline = JobTimeline.of(JOB, LOG).orElseThrow();
		assertThat(timeline.summary()).containsExactly("Reported as completed after 10.100 s: all tasks are done.",
				"Outcomes of its runs: {done=1, lease lapsed=1}.",
				"Longest gap between its log lines: 8.500 s between job-accepted and job-seen.");
	}

	@Test
	void theSummaryOfARefusedJobContainsTheReason() {
		JobTimeline timeline = JobTimeline
			.of(JOB, List.of(line("10.0", "job-refused", ofJob(",\"verdict\":\"not-run\",\"reason\":\"no store\""))))
			.orElseThrow();
		assertThat(timeline.summary()).containsExactly("Refused (not-run): no store.");
	}

	@Test
	void anUnknownJobHasNoTimeline() {
		assertThat(JobTimeline.of("other", LOG)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "no object", "{", "{}", "{\"event\":\"a\"}", "{\"event\":\"a\",\"time\":\"b\"}" })
	void linesInOtherFormatsAreSkipped(String text) {
		assertThat(LogLine.parse(text)).isEqualTo(Optional.empty());
	}

	@Test
	void thePrefixOfALogCollectorIsKeptAsTheOrigin() {
		assertThat(Stream.of(LOG.get(0)).map(LogLine::origin)).containsExactly("12.5 side-3");
	}

}
