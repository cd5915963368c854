package org.crocuspost.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.MetricMetadata;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationListener;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.distribution.ConfigurationMetrics;
import org.crocuspost.distribution.ConfirmationSummary;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.lead.LeaderMetrics;
import org.crocuspost.log.LogEvent;
import org.crocuspost.metrics.ProcessMetrics;

/**
 * Generates the operators' reference page of all error codes, log events and metrics from
 * their definitions in the code.
 */
public final class CataloguePage {

	private CataloguePage() {
	}

	/**
	 * Writes the page to a file.
	 * @param arguments the directory of the compiled classes, and the file to write
	 * @throws IOException if the file cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		Files.writeString(Path.of(arguments[1]), render(Path.of(arguments[0])));
	}

	/**
	 * Renders the page.
	 * @param classes the directory of the compiled classes
	 * @return the page in Markdown
	 */
	static String render(Path classes) {
		StringBuilder page = new StringBuilder("# Metrics, events and error codes\n\n");
		page.append("Written by `bin/generate-catalogue` from the catalogues in the code.\n\n## Error codes\n\n");
		page.append("| code | HTTP status | verdict | message |\n|---|---|---|---|\n");
		for (ErrorCode code : ErrorCode.values()) {
			page.append(String.format(Locale.ROOT, "| `%s` | %d | %s | %s |%n", code.code(), code.status(),
					code.verdict().label(), code.template().replace("%s", "…")));
		}
		page.append("\n## Events\n\nEach is one JSON line in the log, with the name in `event`.\n\n");
		page.append("| event | slice |\n|---|---|\n");
		events(classes).forEach(
				(event) -> page.append(String.format("| `%s` | %s |%n", event.eventName(), lastPackageSegment(event))));
		page.append("\n## Metrics\n\nServed at `/metrics` of the monitoring address.\n\n");
		page.append("| metric | meaning |\n|---|---|\n");
		metrics().forEach((metric) -> page
			.append(String.format("| `%s` | %s |%n", metric.getPrometheusName(), metric.getHelp())));
		return page.toString();
	}

	static List<LogEvent> events(Path classes) {
		try (Stream<Path> files = Files.walk(classes.resolve("org/crocuspost"))) {
			return files.map((file) -> classes.relativize(file).toString())
				.filter((name) -> name.endsWith("Event.class"))
				.sorted()
				.map((name) -> name.substring(0, name.length() - ".class".length()).replace('/', '.'))
				.flatMap(CataloguePage::eventConstants)
				.toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Stream<LogEvent> eventConstants(String className) {
		try {
			Object[] constants = Class.forName(className).getEnumConstants();
			return (constants != null)
					? Stream.of(constants).filter(LogEvent.class::isInstance).map(LogEvent.class::cast)
					: Stream.empty();
		}
		catch (ClassNotFoundException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String lastPackageSegment(LogEvent event) {
		String name = event.getClass().getPackageName();
		return name.substring(name.lastIndexOf('.') + 1);
	}

	static List<MetricMetadata> metrics() {
		PrometheusRegistry registry = new PrometheusRegistry();
		ProcessMetrics.register(registry);
		new ServiceLevelMetrics(new EmptyConfigurationSource(), registry);
		ConfigurationMetrics.register(() -> ConfirmationSummary.NONE, registry);
		new LeaderMetrics(registry);
		return registry.scrape().stream().map(MetricSnapshot::getMetadata).toList();
	}

	private static final class EmptyConfigurationSource implements ConfigurationSource {

		@Override
		public Configuration current() {
			return Configuration.EMPTY;
		}

		@Override
		public void addListener(ConfigurationListener listener) {
			// The configuration never changes.
		}

	}

}
