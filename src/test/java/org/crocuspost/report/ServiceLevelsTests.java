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

	private final ConfigurationSource configurations = new OneService();

	private final ServiceLevels levels = new ServiceLevels(this.configurations, this.time);

	@ParameterizedTest
	@MethodSource("descriptors")
	void alertNeedsAHighRateOverBothWindows(Descriptor descriptor) {
		record(descriptor.goodBefore(), true, FAST);
		this.time.advance(descriptor.pause());
		record(descriptor.unavailable(), false, FAST);
		record(descriptor.slow(), true, SLOW);
		record(descriptor.goodAfter(), true, FAST);
		assertThat(this.levels.report().get(0).alert()).isEqualTo(descriptor.alert());
	}

	static Stream<Descriptor> descriptors() {
		Duration minute = Duration.ofMinutes(1);
		Duration halfHour = Duration.ofMinutes(31);
		return Stream.of(new Descriptor("no requests", 0, minute, 0, 0, 0, BurnAlert.NONE),
				new Descriptor("no bad requests", 1_000, minute, 0, 0, 1_000, BurnAlert.NONE),
				new Descriptor("2 % unavailable pages", 0, minute, 20, 0, 980, BurnAlert.PAGE),
				new Descriptor("1 % unavailable is a ticket", 0, minute, 10, 0, 990, BurnAlert.TICKET),
				new Descriptor("spike that the hour absorbs", 10_000, halfHour, 20, 0, 980, BurnAlert.NONE),
				new Descriptor("20 % slow pages", 0, minute, 0, 200, 800, BurnAlert.PAGE),
				new Descriptor("1 % slow is what the objective allows", 0, minute, 0, 10, 990, BurnAlert.NONE));
	}

	@Test
	void alertEndsSoonAfterTheCauseIsGone() {
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
		Set<String> known = new TreeSet<>();
		registry.scrape().forEach((snapshot) -> known.add(snapshot.getMetadata().getPrometheusName()));
		Matcher used = Pattern.compile("crocuspost_[a-z_]+")
			.matcher(Files.readString(Path.of("examples/prometheus/burn-alerts.yml")));
		assertThat(used.results().map((match) -> match.group().replaceAll("_total$", ""))).isNotEmpty()
			.allMatch(known::contains);
	}

	private void record(int count, boolean available, Duration latency) {
		for (int index = 0; index < count; index++) {
			this.levels.record("shop", available, latency);
		}
	}

	private static final class OneService implements ConfigurationSource {

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

	private record Descriptor(String description, int goodBefore, Duration pause, int unavailable, int slow,
			int goodAfter, BurnAlert alert) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
