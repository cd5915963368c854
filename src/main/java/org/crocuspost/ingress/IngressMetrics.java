package org.crocuspost.ingress;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Records the number and the latency of callers' requests.
 */
public final class IngressMetrics {

	private final Counter requests;

	private final Histogram seconds;

	private final Counter rejections;

	/**
	 * Creates the metrics and registers them.
	 * @param registry the metrics registry of the process
	 */
	public IngressMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("crocuspost_job_requests_total")
			.help("Requests of callers, by method and answer.")
			.labelNames("method", "answer")
			.register(registry);
		this.rejections = Counter.builder()
			.name("crocuspost_jobs_rejected_total")
			.help("Jobs that were rejected because of the backlog, by queue.")
			.labelNames("queue")
			.register(registry);
		this.seconds = Histogram.builder()
			.name("crocuspost_job_request_seconds")
			.help("Time until a request of a caller was answered, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.005, 0.01, 0.03, 0.1, 0.3, 1, 3)
			.labelNames("method")
			.register(registry);
	}

	/**
	 * Records an answered request.
	 * @param method the requested operation
	 * @param answer the answer
	 * @param nanos the time until the answer, in nanoseconds
	 */
	public void recordRequest(JobRequest.Method method, JobAnswer answer, long nanos) {
		String name = method.name().toLowerCase(Locale.ROOT);
		this.requests.labelValues(name, answer.getClass().getSimpleName().toLowerCase(Locale.ROOT)).inc();
		this.seconds.labelValues(name).observe(nanos / (double) TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Records a job that was rejected because of the backlog.
	 * @param queue the name of its queue
	 */
	void recordRejection(String queue) {
		this.rejections.labelValues(queue).inc();
	}

}
