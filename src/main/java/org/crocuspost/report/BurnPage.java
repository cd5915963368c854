package org.crocuspost.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.Locale;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Renders the error budget burn as one self-contained HTML page.
 */
public final class BurnPage {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 320;

	private static final int SECONDS_PER_MINUTE = 60;

	private BurnPage() {
	}

	/**
	 * Renders the page.
	 * @param reports the report of each service
	 * @return the HTML page
	 */
	public static String render(List<BurnReport> reports) {
		StringBuilder page = new StringBuilder();
		page.append(
				"<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>")
			.append("<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}")
			.append("td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}</style></head><body>\n")
			.append("<h1>Service-level burn</h1>\n");
		reports.forEach((report) -> appendService(page, report));
		return page.append("</body></html>\n").toString();
	}

	private static void appendService(StringBuilder page, BurnReport report) {
		page.append("<h2>").append(escape(report.service())).append("</h2>\n<p>Alert: ");
		page.append(report.alert().name().toLowerCase(Locale.ROOT));
		page.append(String.format(Locale.ROOT, ". Budget left: availability %.1f %%, latency %.1f %%.</p>%n",
				100 * report.availabilityBudgetLeft(), 100 * report.latencyBudgetLeft()));
		page.append("<table><tr><th>window</th><th>requests</th><th>unavailable</th><th>slow</th>")
			.append("<th>availability burn</th><th>latency burn</th></tr>\n");
		report.windows().forEach((window) -> appendWindow(page, window));
		page.append("</table>\n");
		if (!report.minutes().isEmpty()) {
			page.append("<img alt=\"requests that burned the budget, by minute\" src=\"data:image/png;base64,")
				.append(renderChart(report))
				.append("\">\n");
		}
	}

	private static void appendWindow(StringBuilder page, BurnWindow window) {
		page.append(String.format(Locale.ROOT,
				"<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%.2f</td><td>%.2f</td></tr>%n", window.length(),
				window.total(), window.unavailable(), window.slow(), window.availabilityBurn(), window.latencyBurn()));
	}

	private static String renderChart(BurnReport report) {
		List<Date> times = new ArrayList<>();
		List<Long> unavailable = new ArrayList<>();
		List<Long> slow = new ArrayList<>();
		for (MinuteCounts counts : report.minutes()) {
			times.add(Date.from(Instant.ofEpochSecond(counts.minute() * SECONDS_PER_MINUTE)));
			unavailable.add(counts.unavailable());
			slow.add(counts.slow());
		}
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("Requests that burned the budget")
			.yAxisTitle("requests a minute")
			.build();
		chart.getStyler().setLegendPosition(LegendPosition.InsideNE);
		chart.addSeries("unavailable", times, unavailable).setMarker(SeriesMarkers.NONE);
		chart.addSeries("slow", times, slow).setMarker(SeriesMarkers.NONE);
		return encodePng(chart);
	}

	private static String encodePng(XYChart chart) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			BitmapEncoder.saveBitmap(chart, bytes, BitmapFormat.PNG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Base64.getEncoder().encodeToString(bytes.toByteArray());
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
