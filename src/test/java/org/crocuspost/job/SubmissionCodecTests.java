package org.crocuspost.job;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the stored form of an accepted job.
 */
class SubmissionCodecTests {

	static Stream<String> texts() {
		return Stream.of("", "-", " ", " text", "text ", "two\nlines", "\r\n", "\t", "\u0000", "{\"queue\":1}", "ended",
				"withdrawn", "rejected 5", "ACTIVE 0 queue", "Zürich", "\uD83D\uDE00", "x".repeat(4_000));
	}

	/**
	 * Guards against tasks that start with another specification, or on other workers,
	 * after a takeover, because of what a caller or operator wrote.
	 */
	@ParameterizedTest
	@MethodSource("texts")
	void submissionKeepsAllTexts(String text) throws IOException {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				text, text, 0, false, false, text, Duration.ZERO, false, -1);
		JobSubmission submission = new JobSubmission("0123456789abcdef", text, 17,
				new JobSpecification(text, List.of(step), 1, false, 0, 0));
		assertThat(SubmissionCodec.read(submission.id(), SubmissionCodec.write(submission))).isEqualTo(submission);
	}

}
