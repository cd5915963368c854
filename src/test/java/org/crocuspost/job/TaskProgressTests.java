package org.crocuspost.job;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests the stored form of a task's progress.
 */
class TaskProgressTests {

	private static TaskProgress task() {
		return new TaskProgress(new TaskKey("0123456789abcdef", 0, 0, 0), new StepSpecification(1, 100, 100, 0,
				Duration.ZERO, List.of(), false, false, false, "", "", 0, false, false, "", Duration.ZERO, false, -1));
	}

	private static TaskProgress assigned() {
		TaskProgress task = task();
		task.assign(3, "host", "worker", 17);
		return task;
	}

	@Test
	void restoresCrashes() {
		TaskProgress task = assigned();
		task.countCrash(true);
		task.countCrash(true);
		task.countCrash(false);
		TaskProgress restored = task();
		restored.restore(task.write());
		assertThat(restored.crashes()).isEqualTo(2);
		assertThat(restored.crashedRuns()).isEqualTo(3);
		assertThat(restored.write()).isEqualTo(task.write());
	}

	/**
	 * Programs that do not know crashes read and write rows of seven fields.
	 */
	@Test
	void rowOfTaskWithoutCrashesHasFormOfEarlierVersions() {
		String row = TaskStatus.PLACED.ordinal() + " 3 0 host worker 17 -";
		TaskProgress restored = task();
		restored.restore(row);
		assertThat(restored.crashes()).isZero();
		assertThat(restored.write()).isEqualTo(row).isEqualTo(assigned().write());
	}

	/**
	 * What follows the sixth field is a checkpoint of any content, unless the line says
	 * that it holds crashes. Then it must hold exactly these.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "1", "1 3 0 host worker", "1 3 0 host worker 17", "1 3 0 host worker 17 ",
			"1 3 0 my host worker 17 -", "1 3 0 host worker x -", "01 3 0 host worker 17 -1 1",
			"01 3 0 host worker 17 - 1", "01 3 0 host worker 17 - 1 1 1", "01 3 0 host worker 17 - x 1",
			"01 3 0 host worker 17 - 1 -1", "01 3 0 host worker 17 - 1 1000000001" })
	void rejectsMalformedRow(String row) {
		assertThatIllegalArgumentException().isThrownBy(() -> task().restore(row));
	}

	@Test
	void lineThatGoesOnAfterTheMarkOfNoCheckpointHoldsACheckpoint() {
		TaskProgress restored = task();
		restored.restore("1 3 0 host worker 17 - 1");
		assertThat(restored.checkpoint()).isEqualTo("- 1");
		restored.restore("1 3 0 host worker 17 - 1 1 1");
		assertThat(restored.checkpoint()).isEmpty();
		assertThat(restored.crashedRuns()).isEqualTo(1);
	}

}
