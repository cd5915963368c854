package org.crocuspost.model;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import edu.mit.csail.sdg.translator.A4Solution;
import org.crocuspost.task.TaskStatus;
import org.crocuspost.task.TaskTransition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CoreProtocolTests {

	private static final AlloyModel MODEL = AlloyModel.read("CoreProtocol.als");

	@Test
	void guaranteesHoldInTheModel() {
		assertThat(MODEL.isCheck("protocolHolds")).isTrue();
		assertThat(MODEL.execute("protocolHolds").satisfiable()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "fenceIsNeeded", "driftMarginIsNeeded", "startByIsNeeded", "taskVersionIsNeeded",
			"liveWorkerIsNeeded" })
	void guaranteeFailsWithoutGuard(String command) {
		assertThat(MODEL.isCheck(command)).isTrue();
		assertThat(MODEL.execute(command).satisfiable()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "evictedTaskRunsAgain", "taskSurvivesTakeover" })
	void recoveryScenarioIsReachable(String command) {
		assertThat(MODEL.isCheck(command)).isFalse();
		assertThat(MODEL.execute(command).satisfiable()).isTrue();
	}

	@Test
	void transitionsOfTheModelMatchTheCode() {
		A4Solution instance = MODEL.execute("taskSurvivesTakeover");
		Set<String> sources = Arrays.stream(TaskTransition.values())
			.flatMap((transition) -> Stream.of(TaskStatus.values())
				.filter(transition::allowedFrom)
				.map((status) -> transition + " -> " + status))
			.collect(Collectors.toSet());
		Set<String> targets = Arrays.stream(TaskTransition.values())
			.map((transition) -> transition + " -> " + transition.target())
			.collect(Collectors.toSet());
		assertThat(MODEL.tuples(instance, "sources")).isEqualTo(sources);
		assertThat(MODEL.tuples(instance, "target")).isEqualTo(targets);
	}

}
