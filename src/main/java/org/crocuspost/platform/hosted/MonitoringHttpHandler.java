package org.crocuspost.platform.hosted;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.Consumer;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.httpserver.HttpServerHandler;
import org.crocuspost.httpserver.HttpServerRequest;
import org.crocuspost.httpserver.HttpServerResponse;
import org.crocuspost.json.Json;
import org.crocuspost.metrics.Health;

/**
 * Answers requests for the metrics and the health of a process.
 */
final class MonitoringHttpHandler implements HttpServerHandler {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final ExpositionFormats formats = ExpositionFormats.init();

	private final PrometheusRegistry registry;

	private final Health health;

	MonitoringHttpHandler(PrometheusRegistry registry, Health health) {
		this.registry = registry;
		this.health = health;
	}

	@Override
	public void handle(HttpServerRequest request, Consumer<HttpServerResponse> responder) {
		HttpServerResponse response = switch (request.path()) {
			case "/metrics" -> metrics(request.headers().get("Accept"));
			case "/health" -> health(true);
			case "/health/live" -> health(this.health.report().live());
			case "/health/ready" -> health(this.health.report().ready());
			default -> HttpServerResponse.json(NOT_FOUND, "{}");
		};
		responder.accept(response);
	}

	private HttpServerResponse metrics(String accepted) {
		ExpositionFormatWriter writer = this.formats.findWriter(accepted);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			writer.write(bytes, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return new HttpServerResponse(OK, writer.getContentType(), Map.of(), bytes.toByteArray());
	}

	private HttpServerResponse health(boolean healthy) {
		return HttpServerResponse.json(healthy ? OK : UNAVAILABLE, Json.write(this.health.report()));
	}

}
