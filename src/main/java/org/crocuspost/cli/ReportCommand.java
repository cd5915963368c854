package org.crocuspost.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.json.Json;
import org.crocuspost.report.BurnPage;
import org.crocuspost.report.BurnReport;
import org.crocuspost.report.BurnWindow;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/**
 * Implements the command {@code crocuspost report}.
 */
@Command(name = "report", description = "Creates reports.", synopsisSubcommandLabel = "COMMAND")
final class ReportCommand {

	@ParentCommand
	private @Nullable OperatorCommand parent;

	@Command(name = "burn",
			description = "Reports how fast services burn their error budgets, summed over all entries specified.")
	int burn(@Option(names = "--html", paramLabel = "FILE",
			description = "Write the report to a self-contained HTML page.") @Nullable Path html) {
		return Objects.requireNonNull(this.parent).run((session) -> burn(session, html));
	}

	private static ExitCode burn(OperatorSession session, @Nullable Path html) {
		TreeMap<String, BurnReport> reportsByService = new TreeMap<>();
		for (CallResult result : session.client().getFromEach("/report/burn")) {
			if (!(result instanceof CallResult.Success success)) {
				return session.showFailure(result);
			}
			for (JsonNode node : success.body()) {
				BurnReport report = Json.mapper().convertValue(node, BurnReport.class);
				reportsByService.merge(report.service(), report, BurnReport::plus);
			}
		}
		List<BurnReport> reports = new ArrayList<>(reportsByService.values());
		if (html != null) {
			return write(session, html, reports);
		}
		if (session.json()) {
			session.print(Json.mapper().<JsonNode>valueToTree(reports));
		}
		else {
			session.print(table(reports));
		}
		return ExitCode.OK;
	}

	private static ExitCode write(OperatorSession session, Path html, List<BurnReport> reports) {
		try {
			Files.writeString(html, BurnPage.render(reports));
			session.printMessage("wrote " + html);
			return ExitCode.OK;
		}
		catch (IOException ex) {
			session.printMessage("the file " + html + " cannot be written");
			return ExitCode.USAGE;
		}
	}

	private static String table(List<BurnReport> reports) {
		List<List<String>> lines = new ArrayList<>();
		lines.add(List.of("SERVICE", "ALERT", "WINDOW", "REQUESTS", "AVAILABILITY-BURN", "LATENCY-BURN",
				"AVAILABILITY-BUDGET-LEFT", "LATENCY-BUDGET-LEFT", "P50", "P99"));
		for (BurnReport report : reports) {
			boolean first = true;
			for (BurnWindow window : report.windows()) {
				lines.add(line(report, window, first));
				first = false;
			}
		}
		StringBuilder text = new StringBuilder();
		TableFormatter.appendAligned(text, lines, "");
		return text.toString();
	}

	private static List<String> line(BurnReport report, BurnWindow window, boolean first) {
		return List.of(first ? report.service() : "", first ? report.alert().name().toLowerCase(Locale.ROOT) : "",
				window.length().toString(), String.valueOf(window.total()), rate(window.availabilityBurn()),
				rate(window.latencyBurn()), first ? percent(report.availabilityBudgetLeft()) : "",
				first ? percent(report.latencyBudgetLeft()) : "", first ? millis(report.median()) : "",
				first ? millis(report.ninetyNinth()) : "");
	}

	private static String rate(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

	private static String percent(double share) {
		return String.format(Locale.ROOT, "%.1f %%", 100 * share);
	}

	private static String millis(Duration duration) {
		return String.format(Locale.ROOT, "%.1f ms", duration.toNanos() / 1e6);
	}

}
