package org.crocuspost.metrics;

import java.io.ByteArrayOutputStream;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.json.Json;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Adds the monitoring routes to an HTTP server: {@code /metrics}, {@code /health},
 * {@code /health/live} and {@code /health/ready}.
 */
public final class MonitoringHandlers implements Action<Chain> {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final ExpositionFormats formats = ExpositionFormats.init();

	private final PrometheusRegistry registry;

	private final Health health;

	/**
	 * Creates the routes.
	 * @param registry the metrics registry of the process
	 * @param health the health of the process
	 */
	public MonitoringHandlers(PrometheusRegistry registry, Health health) {
		this.registry = registry;
		this.health = health;
	}

	@Override
	public void execute(Chain chain) {
		chain.get("metrics", this::metrics)
			.get("health", (context) -> health(context, true))
			.get("health/live", (context) -> health(context, this.health.report().live()))
			.get("health/ready", (context) -> health(context, this.health.report().ready()));
	}

	private void metrics(Context context) throws Exception {
		String accepted = context.getRequest().getHeaders().get("Accept");
		ExpositionFormatWriter writer = this.formats.findWriter(accepted);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		writer.write(bytes, this.registry.scrape());
		context.getResponse().send(writer.getContentType(), bytes.toByteArray());
	}

	private void health(Context context, boolean healthy) {
		context.getResponse()
			.status(healthy ? OK : UNAVAILABLE)
			.send("application/json", Json.write(this.health.report()));
	}

}
