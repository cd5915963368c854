package org.crocuspost.report;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.ServiceSpecification;

/**
 * Counts the requests of each service, and those that miss its objectives, as Prometheus
 * metrics.
 */
public final class ServiceLevelMetrics implements ServiceLevelRecorder {

	private static final String SERVICE_LABEL = "service";

	private static final double[] LATENCY_BOUNDS_SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

	private final ConfigurationSource configurations;

	private final Counter requests;

	private final Counter unavailable;

	private final Counter slow;

	private final Histogram latency;

	/**
	 * Creates the metrics and registers them.
	 * @param configurations the source of the objectives
	 * @param registry the registry of the process
	 */
	public ServiceLevelMetrics(ConfigurationSource configurations, PrometheusRegistry registry) {
		this.configurations = configurations;
		this.requests = counter("crocuspost_requests_total", "Requests that were answered or refused.", registry);
		this.unavailable = counter("crocuspost_requests_unavailable_total",
				"Requests that did not get an answer of the service without a fault.", registry);
		this.slow = counter("crocuspost_requests_slow_total",
				"Requests that got an answer later than the objective of the service.", registry);
		this.latency = Histogram.builder()
			.name("crocuspost_request_seconds")
			.help("Time from the arrival of a request to its answer, in seconds.")
			.labelNames(SERVICE_LABEL)
			.classicOnly()
			.classicUpperBounds(LATENCY_BOUNDS_SECONDS)
			.register(registry);
	}

	private static Counter counter(String name, String help, PrometheusRegistry registry) {
		return Counter.builder().name(name).help(help).labelNames(SERVICE_LABEL).register(registry);
	}

	// Requests of unknown services are not counted: otherwise callers could add series.
	@Override
	public void record(String service, boolean available, Duration duration) {
		ServiceSpecification specification = this.configurations.current().services().get(service);
		if (specification == null) {
			return;
		}
		this.requests.labelValues(service).inc();
		this.latency.labelValues(service).observe(duration.toNanos() / (double) Duration.ofSeconds(1).toNanos());
		if (!available) {
			this.unavailable.labelValues(service).inc();
		}
		else if (duration.compareTo(specification.objective().latency()) > 0) {
			this.slow.labelValues(service).inc();
		}
	}

}
