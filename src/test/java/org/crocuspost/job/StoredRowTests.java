package org.crocuspost.job;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests that rows of jobs and tasks keep any text, and that this version and the previous
 * one read each other's rows or ignore them, but never read another text.
 */
class StoredRowTests {

	private static final List<String> PLAIN_TEXTS = List.of("", "00000bb87a21d94b", "{\"step\":3}", "\"quoted\"",
			"line\nline", "tab\tbed", "--", "100%", "+1", "Zürich");

	private static final List<String> OTHER_TEXTS = List.of("done 2000", "-", " ", "  ", " done", "done ", "done  2000",
			"- 1", "- 1 2", "at 3 4", "at 0 0", "1 2", " 1 2", "a b c d", "{ \"step\": 3 }", "at 99999999999 1", "\n ",
			" \r\n", "1 ".repeat(30_000), " \"".repeat(30_000));

	static Stream<Arguments> rows() {
		return Stream.concat(PLAIN_TEXTS.stream(), OTHER_TEXTS.stream())
			.flatMap((text) -> Stream.of(Arguments.of(text, 0, 0), Arguments.of(text, 0, 2), Arguments.of(text, 3, 4)));
	}

	private static TaskRow row(String checkpoint, int crashes, int crashedRuns) {
		return new TaskRow(TaskStatus.PLACED, 7, 1, "host", "worker", 17, checkpoint, crashes, crashedRuns);
	}

	/**
	 * Guards against a job that a new leader ignores, or a task that resumes from another
	 * text, because its checkpoint looks like a separator or like no checkpoint.
	 */
	@ParameterizedTest
	@MethodSource("rows")
	void rowOfATaskKeepsItsCheckpoint(String checkpoint, int crashes, int crashedRuns) {
		TaskRow row = row(checkpoint, crashes, crashedRuns);
		assertThat(TaskRow.read(row.write())).isEqualTo(row);
	}

	/**
	 * Guards against a job that is ignored because of the name of a host or worker.
	 */
	@ParameterizedTest
	@CsvSource({ "a host, worker", "host, a worker", "-, worker", "host, -", "' ', ' '", "{, }" })
	void rowOfATaskKeepsTheNamesOfHostAndWorker(String host, String worker) {
		TaskRow row = new TaskRow(TaskStatus.PLACED, 7, 1, host, worker, 17, "done 2000", 1, 2);
		assertThat(TaskRow.read(row.write())).isEqualTo(row);
	}

	/**
	 * Guards against a job that is ignored, or counted for another queue, because of a
	 * line break in the name of its queue.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "queue", "", "a queue", " ", "two\nlines", "\n", "{", "{}" })
	void rowOfAJobKeepsTheNameOfItsQueue(String queue) {
		JobSummary summary = new JobSummary(queue, JobState.ACTIVE, 12);
		assertThat(JobSummary.read(summary.write())).isEqualTo(summary);
	}

	/**
	 * Guards against a rolling upgrade in which leaders of the previous version ignore
	 * the jobs that leaders of this version have recorded.
	 */
	@ParameterizedTest
	@MethodSource("rows")
	void previousVersionReadsTheSameRowOrIgnoresIt(String checkpoint, int crashes, int crashedRuns) {
		TaskRow row = row(checkpoint, crashes, crashedRuns);
		if (PLAIN_TEXTS.contains(checkpoint)) {
			assertThat(PreviousVersion.read(row.write())).isEqualTo(row);
		}
		else {
			assertThatIllegalArgumentException().isThrownBy(() -> PreviousVersion.read(row.write()));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "queue", "", "a queue", " ", "{", "two\nlines", "\n", "two\nlines 1 2" })
	void previousVersionReadsTheSameRowOfAJobOrIgnoresIt(String queue) {
		JobSummary summary = new JobSummary(queue, JobState.ACTIVE, 12);
		if (queue.indexOf('\n') < 0) {
			assertThat(PreviousVersion.readSummary(summary.write())).isEqualTo(summary);
		}
		else {
			assertThatIllegalArgumentException().isThrownBy(() -> PreviousVersion.readSummary(summary.write()));
		}
	}

	/**
	 * Guards against jobs that stay lost after an upgrade, since the previous version
	 * stored them. Where its line has two meanings, the task must not resume from the
	 * wrong one.
	 */
	@ParameterizedTest
	@MethodSource("rows")
	void rowOfThePreviousVersionIsReadWithItsCheckpointOrWithoutOne(String checkpoint, int crashes, int crashedRuns) {
		TaskRow row = row(checkpoint, crashes, crashedRuns);
		TaskRow read = TaskRow.read(PreviousVersion.write(row));
		assertThat(read.checkpoint()).isIn(checkpoint, "");
		assertThat(row("", 0, 0)).isEqualTo(new TaskRow(read.status(), read.run(), read.failures(), read.host(),
				read.worker(), read.workerStartMillis(), "", 0, 0));
	}

	@ParameterizedTest
	@ValueSource(strings = { "done 2000", " ", "done ", "done  2000", "at 0 0", "a b c d", "{ \"step\": 3 }",
			"00000bb87a21d94b", "at 99999999999 1" })
	void checkpointOfThePreviousVersionIsKeptWhereItsLineHasOneMeaning(String checkpoint) {
		assertThat(TaskRow.read("2 7 1 host worker 17 " + checkpoint)).isEqualTo(row(checkpoint, 0, 0));
	}

	@Test
	void crashesInALineOfThePreviousVersionAreKept() {
		assertThat(TaskRow.read("2 7 1 host worker 17 00000bb87a21d94b 1 2")).isEqualTo(row("", 1, 2));
		assertThat(TaskRow.read("2 7 1 host worker 17 - 1 2")).isEqualTo(row("", 1, 2));
	}

	@ParameterizedTest
	@ValueSource(strings = { "{", "{}", "null", "{\"status\":\"NONE\"}",
			"{\"status\":\"PLACED\",\"run\":-1,\"host\":\"\",\"worker\":\"\",\"checkpoint\":\"\"}",
			"{\"status\":\"PLACED\",\"run\":1e400,\"host\":\"\",\"worker\":\"\",\"checkpoint\":\"\"}",
			"{\"status\":\"PLACED\",\"run\":1,\"host\":\"\",\"worker\":\"\"}" })
	void malformedDocumentIsRejected(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> TaskRow.read(text));
		assertThatIllegalArgumentException().isThrownBy(() -> JobSummary.read(text));
	}

	@Test
	void membersOfALaterVersionAreIgnored() {
		String document = row("done 2000", 0, 0).write();
		assertThat(document).startsWith("{");
		assertThat(TaskRow.read(document.replaceFirst("\\{", "{\"later\":[1],"))).isEqualTo(row("done 2000", 0, 0));
	}

}
