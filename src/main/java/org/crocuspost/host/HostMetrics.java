package org.crocuspost.host;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of an agent.
 */
public final class HostMetrics {

	private final Counter starts;

	private final Counter leaseRenewals;

	private final Histogram leaseRenewalSeconds;

	/**
	 * Registers the metrics.
	 * @param registry the metrics registry of the process
	 */
	public HostMetrics(PrometheusRegistry registry) {
		this.starts = Counter.builder()
			.name("crocuspost_run_starts_total")
			.help("Orders to the worker to start a run, by outcome.")
			.labelNames("outcome")
			.register(registry);
		this.leaseRenewals = Counter.builder()
			.name("crocuspost_lease_renewals_total")
			.help("Renewals of the worker's lease, by outcome.")
			.labelNames("outcome")
			.register(registry);
		this.leaseRenewalSeconds = Histogram.builder()
			.name("crocuspost_lease_renewal_seconds")
			.help("Time until a renewal was answered, with the worker's wait for an end, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.01, 0.05, 0.2, 0.4, 0.6, 1)
			.register(registry);
	}

	void countStart(OrderOutcome.Kind outcome) {
		this.starts.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
	}

	void recordLeaseRenewal(boolean answered, long nanos) {
		this.leaseRenewals.labelValues(answered ? "answered" : "failed").inc();
		this.leaseRenewalSeconds.observe(nanos / (double) TimeUnit.SECONDS.toNanos(1));
	}

}
