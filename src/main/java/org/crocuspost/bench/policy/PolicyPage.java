package org.crocuspost.bench.policy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.function.Function;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;

/**
 * Writes a report as an HTML page with plots.
 */
final class PolicyPage {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 420;

	private PolicyPage() {
	}

	static String write(PolicyReport report) {
		StringBuilder page = new StringBuilder();
		page.append("<!doctype html><meta charset=\"utf-8\"><title>Policies for batch work</title>")
			.append("<style>body{font:15px sans-serif;margin:2em}pre{overflow:auto}</style>")
			.append("<h1>Policies for batch work, ")
			.append(report.deployment())
			.append("</h1><pre>")
			.append(PolicyTable.write(report))
			.append("</pre>");
		page.append(image(tradeOff(report)));
		page.append(image(bars("Figure of merit", report, PolicySummary::merit)));
		page.append(image(bars("Tail latency at the peaks relative to services alone", report, PolicySummary::tail)));
		page.append(image(bars("Batch work relative to no control", report, PolicySummary::throughput)));
		page.append(image(bars("Evictions in a run", report, PolicySummary::evictions)));
		page.append(image(bars("Work while a failure domain leaves and returns", report, PolicySummary::domainWork)));
		return page.toString();
	}

	private static XYChart tradeOff(PolicyReport report) {
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("Batch work against tail latency")
			.xAxisTitle("tail latency at the peaks relative to services alone")
			.yAxisTitle("batch work relative to no control")
			.build();
		chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Scatter);
		for (PolicySummary policy : report.policies()) {
			chart.addSeries(policy.policy(), new double[] { policy.tail().mean() },
					new double[] { policy.throughput().mean() });
		}
		return chart;
	}

	private static CategoryChart bars(String title, PolicyReport report,
			Function<PolicySummary, ConfidenceInterval> measure) {
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
		List<String> names = report.policies().stream().map(PolicySummary::policy).toList();
		List<Double> means = report.policies().stream().map((policy) -> measure.apply(policy).mean()).toList();
		List<Double> errors = report.policies().stream().map((policy) -> measure.apply(policy).halfWidth()).toList();
		chart.getStyler().setLegendVisible(false);
		chart.getStyler().setXAxisLabelRotation(30);
		chart.addSeries(title, names, means, errors);
		return chart;
	}

	private static String image(org.knowm.xchart.internal.chartpart.Chart<?, ?> chart) {
		try {
			byte[] bytes = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
			return "<p><img src=\"data:image/png;base64," + Base64.getEncoder().encodeToString(bytes) + "\">";
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
