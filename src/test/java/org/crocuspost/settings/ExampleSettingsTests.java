package org.crocuspost.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import org.crocuspost.platform.worker.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExampleSettingsTests {

	@ParameterizedTest
	@CsvSource({ "sappaya, lunchwallet, 32000, 119200", "mela, ride-desk, 16000, 57200" })
	void exampleDeploymentHasExpectedSizes(String example, String service, long milliCores, long memoryMebibytes) {
		DeploymentSettings deployment = SettingsFile.deployment(file(example, "deployment")).get();
		assertThat(deployment.failureDomains()).hasSize(3);
		assertThat(deployment.workers()).hasSize(11).allSatisfy((worker) -> {
			assertThat(worker.capacity()).isEqualTo(new Resources(milliCores, memoryMebibytes, 0));
			assertThat(worker.endpoint().service()).isEqualTo(service);
			assertThat(worker.endpoint().slots()).isEqualTo(8);
			assertThat(worker.endpoint().connections()).isEqualTo(64);
		});
		assertThat(deployment.workers()
			.stream()
			.collect(Collectors.groupingBy(DeploymentSettings.WorkerHost::rack, Collectors.counting()))
			.values()).allMatch((workers) -> workers <= 3);
	}

	@ParameterizedTest
	@ValueSource(strings = { "sappaya", "mela" })
	void examplesOfEveryRoleStateTheDefaults(String example) {
		EntrySettings entry = SettingsFile.entry(file(example, "entry")).get();
		assertThat(entry.limits()).isEqualTo(EntrySettings.Limits.DEFAULT);
		assertThat(entry.times()).isEqualTo(EntrySettings.Times.DEFAULT);
		SchedulerSettings scheduler = SettingsFile.scheduler(file(example, "scheduler")).get();
		assertThat(scheduler.times()).isEqualTo(SchedulerSettings.Times.DEFAULT);
		AgentSettings agent = SettingsFile.agent(file(example, "agent")).get();
		assertThat(agent.times()).isEqualTo(AgentSettings.Times.DEFAULT);
		assertThat(agent.entryConnections()).isEqualTo(AgentSettings.DEFAULT_ENTRY_CONNECTIONS);
		OperatorSettings operator = SettingsFile.operator(file(example, "operator")).get();
		assertThat(operator.timeout()).isEqualTo(OperatorSettings.DEFAULT_TIMEOUT);
		assertThat(operator.token()).isEqualTo(entry.operatorToken());
		assertThat(List.of(scheduler.secret(), agent.secret())).containsOnly(entry.secret());
	}

	private static Path file(String example, String role) {
		return Path.of("examples", example, role + ".json");
	}

}
