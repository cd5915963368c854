package org.crocuspost.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsFileTests {

	@TempDir
	private Path directory;

	static Stream<Case> cases() {
		return Stream.of(
				new Case("entry", SettingsFile::entry, "\"callers\": \"10.11.1.5:8080\"",
						"\"callers\": \"entry.example:8080\"",
						"$.callers: found \"entry.example:8080\", allowed is an IP address"),
				new Case("entry", SettingsFile::entry, "10.11.1.5:8081", "10.11.1.5:65536", "$.operators: found"),
				new Case("entry", SettingsFile::entry, "\"bkk-a\",\n  //", "\"bkk-x\",\n  //",
						"$.failureDomain: found \"bkk-x\", allowed is one of bkk-a, bkk-b, bkk-c"),
				new Case("entry", SettingsFile::entry, "replace-this-operator-token", "short",
						"$.operatorToken: found a string of 5 characters, allowed is a string of at least 16 characters"),
				new Case("entry", SettingsFile::entry, "\"memberLease\": \"PT10S\"", "\"memberLease\": \"PT2S\"",
						"$.times.memberLease: found memberLease of PT2S, allowed is longer than twice storePoll"),
				new Case("entry", SettingsFile::entry, "\"threads\": 4", "\"thread\": 4",
						"$.limits.thread: found the unknown member \"thread\", allowed is one of maximumBodyBytes"),
				new Case("entry", SettingsFile::entry, "\"callTimeout\": \"PT3S\"", "\"callTimeout\": \"PT0.5S\"",
						"$.platform.callTimeout: found PT0.5S, allowed is at least connectTimeout"),
				new Case("entry", SettingsFile::entry, "\"http://10.11.0.2:7100\",\n    \"objects\"",
						"\"https://10.11.0.2\",\n    \"objects\"", "$.platform.table: found \"https://10.11.0.2\""),
				new Case("scheduler", SettingsFile::scheduler, "\"bkk-c\"]", "\"bkk-a\"]",
						"$.failureDomains[2]: found \"bkk-a\" a second time"),
				new Case("scheduler", SettingsFile::scheduler, "\"shardLease\": \"PT5S\"", "\"shardLease\": \"PT3S\"",
						"$.times.shardLease: found shardLease of PT3S"),
				new Case("agent", SettingsFile::agent, "\"connections\": 64", "\"connections\": 7",
						"$.endpoint.connections: found 7 connections, allowed is at least the slots, which are 8"),
				new Case("agent", SettingsFile::agent, "\"slots\": 8", "\"slots\": 0",
						"$.endpoint.slots: found the number 0, allowed is a whole number from 1 to"),
				new Case("agent", SettingsFile::agent, "\"milliCores\": 10000", "\"milliCores\": 32001",
						"$.worker.reservedForService: found 32001 milliCores"),
				new Case("agent", SettingsFile::agent, "\"rack\": \"bkk-a-r1\",", "",
						"$: found no member \"rack\", allowed is the member \"rack\", which is required"),
				new Case("operator", SettingsFile::operator, "[\"http://10.11.1.5:8081\", \"http://10.11.1.6:8081\"]",
						"[]", "$.entries: found no address"),
				new Case("deployment", SettingsFile::deployment, "\"canteen-02\", \"failureDomain\": \"bkk-a\"",
						"\"canteen-01\", \"failureDomain\": \"bkk-a\"",
						"$.workers[1]: found the name \"canteen-01\" a second time"),
				new Case("deployment", SettingsFile::deployment, "\"canteen-02\", \"failureDomain\": \"bkk-a\"",
						"\"canteen-02\", \"failureDomain\": \"bkk-b\"",
						"$.workers: found rack bkk-a-r1 in bkk-a and in bkk-b"),
				new Case("deployment", SettingsFile::deployment, "\"entry-2\", \"failureDomain\": \"bkk-b\"",
						"\"entry-2\", \"failureDomain\": \"bkk-d\"",
						"$.entries[1]: found the failure domain \"bkk-d\""),
				new Case("deployment", SettingsFile::deployment, "\"lunchwallet-02\"", "\"lunchwallet-01\"",
						"$.workers: found the endpoint \"lunchwallet-01\" a second time"),
				new Case("deployment", SettingsFile::deployment, "\"note\": \"note.json\"",
						"\"note\": \"../note.json\"", "$.note: found"),
				new Case("deployment", SettingsFile::deployment, "\"name\": \"sappaya\",", "\"name\" \"sappaya\",",
						"allowed is JSON with comments"));
	}

	@ParameterizedTest
	@MethodSource("cases")
	void faultIsReportedWithLineColumnAndPath(Case settingsCase) throws IOException {
		String text = Files.readString(Path.of("examples", "sappaya", settingsCase.role() + ".json"));
		assertThat(text).contains(settingsCase.original());
		Path file = write(text.replaceFirst(java.util.regex.Pattern.quote(settingsCase.original()),
				java.util.regex.Matcher.quoteReplacement(settingsCase.replacement())));
		Either<SettingsFaults, ?> result = settingsCase.reader().apply(file);
		assertThat(result.isLeft()).isTrue();
		SettingsFaults faults = result.getLeft();
		assertThat(faults.faults()).hasSize(1);
		assertThat(faults.describe()).startsWith("the settings have 1 faults\n" + file + ":")
			.contains(settingsCase.report());
	}

	@Test
	void allFaultsAreReportedInOrderOfPosition() throws IOException {
		Path file = write("""
				{
				  // Four faults in one file.
				  "name": "entry 1",
				  "entries": "http://10.0.0.1:1",
				  "token": "too-short-here",
				  "timeout": "10 s"
				}
				""");
		assertThat(SettingsFile.operator(file).getLeft().describe().lines().map((line) -> line.replace(file + ":", "")))
			.satisfiesExactly((line) -> assertThat(line).isEqualTo("the settings have 4 faults"),
					(line) -> assertThat(line).startsWith("3:11: $.name"),
					(line) -> assertThat(line).startsWith("4:14: $.entries"),
					(line) -> assertThat(line).startsWith("5:12: $.token").doesNotContain("too-short-here"),
					(line) -> assertThat(line).startsWith("6:14: $.timeout"));
	}

	@Test
	void missingFileIsReportedAsFault() {
		Path file = this.directory.resolve("missing.json");
		assertThat(SettingsFile.agent(file).getLeft().describe()).contains(file + ":1:1: $: found no such file");
	}

	@Test
	void secretsAreNotPrinted() {
		EntrySettings entry = SettingsFile.entry(Path.of("examples", "mela", "entry.json")).get();
		assertThat(entry.toString()).doesNotContain("replace-this");
		assertThat(List.of(entry.secret().matches("replace-this-deployment-secret"), entry.secret().matches("other")))
			.containsExactly(true, false);
	}

	private Path write(String text) throws IOException {
		return Files.writeString(this.directory.resolve("settings.json"), text);
	}

	private record Case(String role, Function<Path, Either<SettingsFaults, ?>> reader, String original,
			String replacement, String report) {

		@Override
		public String toString() {
			return this.role + ": " + this.replacement;
		}

	}

}
