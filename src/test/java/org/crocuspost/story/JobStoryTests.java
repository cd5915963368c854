package org.crocuspost.story;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What is told of a job from logs.
 */
class JobStoryTests {

	private static final String JOB = "0123456789abcdef";

	private static LogLine line(String second, String event, String fields) {
		String text = "12.5 side-3 {\"time\":\"2026-12-01T00:00:%sZ\",\"event\":\"%s\"%s}".formatted(second, event,
				fields);
		return LogLine.parse(text).orElseThrow();
	}

	private static String own(String fields) {
		return ",\"job\":\"" + JOB + "\"" + fields;
	}

	private static final List<LogLine> LATE = List.of(line("10.0", "job-accepted", own("")),
			line("18.5", "job-seen", own("")), line("13.1", "leadership-won", ",\"epoch\":\"4\""),
			line("18.6", "task-placed", own(",\"host\":\"side-3\"")),
			line("18.9", "host-changed", ",\"host\":\"side-3\",\"belief\":\"suspected\""),
			line("18.9", "host-changed", ",\"host\":\"side-4\",\"belief\":\"suspected\""),
			line("19.0", "job-accepted", ",\"job\":\"ffffffffffffffff\""),
			line("19.2", "pace-changed", ",\"task\":\"" + JOB + ".0.0.1\",\"pace\":\"50\""),
			line("19.5", "run-lost", own(",\"outcome\":\"lease lapsed\"")),
			line("20.0", "run-ended", own(",\"outcome\":\"done\"")),
			line("20.1", "job-ended", own(",\"state\":\"completed\",\"reason\":\"all tasks are done\"")),
			line("25.0", "leadership-won", ",\"epoch\":\"5\""));

	@Test
	void theLinesOfAJobAndWhatExplainsThemAreInOrder() {
		JobTimeline story = JobTimeline.of(JOB, LATE).orElseThrow();
		assertThat(story.lines()).extracting(LogLine::event)
			.containsExactly("job-accepted", "leadership-won", "job-seen", "task-placed", "host-changed",
					"pace-changed", "run-lost", "run-ended", "job-ended");
		assertThat(story.lines().get(4).field("host")).isEqualTo("side-3");
	}

	@Test
	void theSummaryNamesTheFateAndTheLongestWait() {
		JobTimeline story = JobTimeline.of(JOB, LATE).orElseThrow();
		assertThat(story.summary()).containsExactly("Shown as completed after 10.100 s: all tasks are done.",
				"Ends of its runs: {done=1, lease lapsed=1}.",
				"Longest time without a line of its own: 8.500 s between job-accepted and job-seen.");
	}

	@Test
	void aRefusalIsToldWithItsReason() {
		JobTimeline story = JobTimeline
			.of(JOB, List.of(line("10.0", "job-refused", own(",\"verdict\":\"not-run\",\"reason\":\"no store\""))))
			.orElseThrow();
		assertThat(story.summary()).containsExactly("Refused (not-run): no store.");
	}

	@Test
	void anUnknownJobHasNoStory() {
		assertThat(JobTimeline.of("other", LATE)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "no object", "{", "{}", "{\"event\":\"a\"}", "{\"event\":\"a\",\"time\":\"b\"}" })
	void otherLinesAreLeftOut(String text) {
		assertThat(LogLine.parse(text)).isEqualTo(Optional.empty());
	}

	@Test
	void whatACollectorWroteBeforeALineIsKept() {
		assertThat(Stream.of(LATE.get(0)).map(LogLine::origin)).containsExactly("12.5 side-3");
	}

}
