package org.crocuspost.distribution;

import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of the configuration on which a process and its agents act.
 */
public final class ConfigurationMetrics {

	private ConfigurationMetrics() {
	}

	/**
	 * Registers the metrics.
	 * @param summary supplies the confirmation summary of the process
	 * @param registry the registry of the process
	 */
	public static void register(Supplier<ConfirmationSummary> summary, PrometheusRegistry registry) {
		GaugeWithCallback.builder()
			.name("crocuspost_configuration_version")
			.help("Version of the configuration on which this process acts.")
			.callback((callback) -> callback.call(summary.get().version()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("crocuspost_configuration_agents_version")
			.help("Lowest version among the agents of this process.")
			.callback((callback) -> callback.call(summary.get().agentsVersion()))
			.register(registry);
	}

}
