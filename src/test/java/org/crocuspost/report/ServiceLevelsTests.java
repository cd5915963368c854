package org.crocuspost.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationListener;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.distribution.ConfigurationMetrics;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.release.NoteChecker;
import org.crocuspost.release.NoteRules;
import org.crocuspost.release.NoteTexts;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ServiceLevelsTests {

	private static final Duration FAST = Duration.ofMillis(10);

	private static final Duration SLOW = Duration.ofMillis(200);

	private final VirtualTime time = new VirtualTime(Instant.parse("2027-01-14T06:00:00Z"));

	private final ConfigurationSource configurations = new SingleServiceConfigurationSource();

	private final ServiceLevels levels = new ServiceLevels(this.configurations, this.time);

	@ParameterizedTest
	@MethodSource("alertCases")
	void alertNeedsAHighRateOverBothWindows(AlertCase alertCase) {
		record(alertCase.goodBefore(), true, FAST);
		this.time.advance(alertCase.pause());
		record(alertCase.unavailable(), false, FAST);
		record(alertCase.slow(), true, SLOW);
		record(alertCase.goodAfter(), true, FAST);
		assertThat(this.levels.report().get(0).alert()).isEqualTo(alertCase.alert());
	}

	static Stream<AlertCase> alertCases() {
		Duration minute = Duration.ofMinutes(1);
		Duration overHalfHour = Duration.ofMinutes(31);
		return Stream.of(new AlertCase("no requests", 0, minute, 0, 0, 0, BurnAlert.NONE),
				new AlertCase("no bad requests", 1_000, minute, 0, 0, 1_000, BurnAlert.NONE),
				new AlertCase("2 % unavailable raises a page", 0, minute, 20, 0, 980, BurnAlert.PAGE),
				new AlertCase("1 % unavailable raises a ticket", 0, minute, 10, 0, 990, BurnAlert.TICKET),
				new AlertCase("brief spike that stays below the rate over one hour", 10_000, overHalfHour, 20, 0, 980,
						BurnAlert.NONE),
				new AlertCase("20 % slow raises a page", 0, minute, 0, 200, 800, BurnAlert.PAGE),
				new AlertCase("1 % slow meets the objective", 0, minute, 0, 10, 990, BurnAlert.NONE));
	}

	@Test
	void alertEndsOnceTheShortWindowIsClean() {
		record(100, false, FAST);
		assertThat(this.levels.report().get(0).alert()).isEqualTo(BurnAlert.PAGE);
		this.time.advance(Duration.ofMinutes(31));
		record(100, true, FAST);
		assertThat(this.levels.report().get(0).alert()).isEqualTo(BurnAlert.NONE);
	}

	@Test
	void reportsOfTwoEntriesAddUp() {
		ServiceLevels other = new ServiceLevels(this.configurations, this.time);
		record(999, true, FAST);
		other.record("shop", false, FAST);
		BurnReport sum = this.levels.report().get(0).plus(other.report().get(0));
		assertThat(sum.windows().get(0).total()).isEqualTo(1_000);
		assertThat(sum.windows().get(0).availabilityBurn()).isCloseTo(1, within(0.001));
		assertThat(sum.availabilityBudgetLeft()).isCloseTo(0, within(0.001));
	}

	@Test
	void exampleAlertsUseMetricsThatExist() throws IOException {
		PrometheusRegistry registry = new PrometheusRegistry();
		new ServiceLevelMetrics(this.configurations, registry).record("shop", false, SLOW);
		ConfigurationMetrics.register(() -> ConfirmationSummary.NONE, registry);
		Set<String> existing = new TreeSet<>();
		registry.scrape().forEach((snapshot) -> existing.add(snapshot.getMetadata().getPrometheusName()));
		Matcher used = Pattern.compile("crocuspost_[a-z_]+")
			.matcher(Files.readString(Path.of("examples/prometheus/burn-alerts.yml")));
		assertThat(used.results().map((match) -> match.group().replaceAll("_total$", ""))).isNotEmpty()
			.allMatch(existing::contains);
	}

	private void record(int count, boolean available, Duration latency) {
		for (int index = 0; index < count; index++) {
			this.levels.record("shop", available, latency);
		}
	}

	private static final class SingleServiceConfigurationSource implements ConfigurationSource {

		private final Configuration configuration = NoteChecker
			.check(NoteTexts.addService("first", 0, "shop"), Configuration.EMPTY, NoteRules.ANY_FAILURE_DOMAIN)
			.get();

		@Override
		public Configuration current() {
			return this.configuration;
		}

		@Override
		public void addListener(ConfigurationListener listener) {
			throw new UnsupportedOperationException();
		}

	}

	private record AlertCase(String description, int goodBefore, Duration pause, int unavailable, int slow,
			int goodAfter, BurnAlert alert) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
