package org.crocuspost.platform.hosted;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.metrics.Health;
import org.crocuspost.metrics.HealthCheck;

/**
 * Serves the metrics of a process on the port that the deployment file names.
 */
final class Monitoring {

	/**
	 * Port that the deployment file names.
	 */
	private static final int PORT = 9_100;

	private static final int MAXIMUM_BODY_BYTES = 4_096;

	/**
	 * Delay until the monitoring server starts, so that the process serves requests
	 * first. In the first seconds after a restart, CPU time is scarce.
	 */
	private static final int START_DELAY_SECONDS = 4;

	private Monitoring() {
	}

	static void startLater(EventLoop loop, HostSettings settings, HttpServers servers, PrometheusRegistry registry,
			BooleanSupplier ready) {
		loop.schedule(() -> new Thread(() -> start(settings, servers, registry, ready), "monitoring-start").start(),
				START_DELAY_SECONDS, TimeUnit.SECONDS);
	}

	private static void start(HostSettings settings, HttpServers servers, PrometheusRegistry registry,
			BooleanSupplier ready) {
		try {
			servers.startForPlatform(new InetSocketAddress(settings.ip(), PORT), MAXIMUM_BODY_BYTES,
					new MonitoringHttpHandler(registry,
							new Health(List.of(), List.of(new HealthCheck("store-view", ready)))));
		}
		catch (IllegalStateException ex) {
			EventLog.warn(HostedEvent.METRICS_UNAVAILABLE, Field.of("port", PORT),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

}
