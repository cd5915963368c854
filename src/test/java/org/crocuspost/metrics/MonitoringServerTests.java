package org.crocuspost.metrics;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.json.Json;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.platform.http.PlatformUrl;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MonitoringServerTests {

	private final AtomicBoolean storeReachable = new AtomicBoolean(true);

	private final AtomicBoolean eventLoopResponsive = new AtomicBoolean(true);

	private final Health health = new Health(List.of(new HealthCheck("event-loop", this.eventLoopResponsive::get)),
			List.of(new HealthCheck("configuration", this.storeReachable::get)));

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final MonitoringServer server = MonitoringServer
		.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this.registry, this.health);

	private final BlockingHttpClient client = new BlockingHttpClient(
			HttpLimits.DEFAULT.withCallTimeout(Duration.ofSeconds(30)));

	@AfterEach
	void close() {
		this.client.close();
		this.server.close();
	}

	@Test
	void metricsAreServedInPrometheusTextFormat() {
		ProcessMetrics.register(this.registry);
		Counter counter = Counter.builder()
			.name("example_total")
			.help("Example.")
			.labelNames("kind")
			.register(this.registry);
		counter.labelValues("first").inc(3);
		assertThat(get("/metrics", 200)).contains("example_total{kind=\"first\"} 3.0")
			.containsPattern("process_cpu_seconds_total [0-9.]+")
			.containsPattern("crocuspost_heap_used_bytes [0-9.E]+");
	}

	@Test
	void processWithPassingChecksIsLiveAndReady() {
		assertThat(List.of(get("/health/live", 200), get("/health/ready", 200)))
			.allSatisfy((body) -> assertThat(Json.read(body, HealthReport.class))
				.isEqualTo(new HealthReport(true, true, false, List.of(new HealthReport.Outcome("event-loop", true),
						new HealthReport.Outcome("configuration", true)))));
	}

	@Test
	void processWithFailedReadinessCheckIsLiveButNotReady() {
		this.storeReachable.set(false);
		get("/health/live", 200);
		get("/health", 200);
		assertThat(get("/health/ready", 503)).contains("{\"name\":\"configuration\",\"holds\":false}");
	}

	@Test
	void drainingProcessIsLiveButNotReady() {
		this.health.drain();
		get("/health/live", 200);
		assertThat(get("/health/ready", 503)).contains("\"draining\":true");
	}

	@Test
	void processWithFailedLivenessCheckIsNeitherLiveNorReady() {
		this.eventLoopResponsive.set(false);
		get("/health/live", 503);
		get("/health/ready", 503);
	}

	private String get(String path, int status) {
		PlatformUrl url = PlatformUrl.of("http://127.0.0.1:" + this.server.address().getPort());
		HttpOutcome outcome = this.client.call("GET", url.resolve(path), new byte[0], "text/plain");
		assertThat(outcome).isInstanceOf(HttpOutcome.Answered.class);
		HttpOutcome.Answered answered = (HttpOutcome.Answered) outcome;
		assertThat(answered.status()).as(path).isEqualTo(status);
		return new String(answered.body(), StandardCharsets.UTF_8);
	}

}
