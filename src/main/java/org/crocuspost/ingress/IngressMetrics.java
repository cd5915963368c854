package org.crocuspost.ingress;

import java.time.Duration;
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

	private final Histogram groupRows;

	private final Histogram waitSeconds;

	private final Counter resolvedWrites;

	private final Counter rejections;

	private final Histogram pendingViewAge;

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
		this.groupRows = Histogram.builder()
			.name("crocuspost_write_group_rows")
			.help("Rows that were sent to the store in one transaction for callers.")
			.classicOnly()
			.classicUpperBounds(1, 2, 4, 8, 16, 40)
			.register(registry);
		this.waitSeconds = Histogram.builder()
			.name("crocuspost_write_wait_seconds")
			.help("Time that a row of a caller waited until it was sent to the store, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.005, 0.03, 0.1, 0.3, 1, 3)
			.register(registry);
		this.resolvedWrites = Counter.builder()
			.name("crocuspost_writes_without_answer_total")
			.help("Rows of callers that ended without an answer to their transaction, by how they ended.")
			.labelNames("end")
			.register(registry);
		this.pendingViewAge = Histogram.builder()
			.name("crocuspost_pending_view_age_seconds")
			.help("Age of the ledger's rows from which an answered number of pending jobs was counted, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.1, 0.3, 1, 2, 3, 10, 30)
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

	/**
	 * Records a transaction that is sent for callers.
	 * @param rows the number of its rows
	 */
	void recordGroup(int rows) {
		this.groupRows.observe(rows);
	}

	/**
	 * Records the time that a row waited until it was sent.
	 * @param wait the time
	 */
	void recordWriteWait(Duration wait) {
		this.waitSeconds.observe(wait.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Records an answered number of pending jobs.
	 * @param viewAge the age of the ledger's rows from which they were counted
	 */
	void recordPendingAnswer(Duration viewAge) {
		this.pendingViewAge.observe(viewAge.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Records a row that ended without an answer to its transaction.
	 * @param end how it ended
	 */
	void recordWriteEnd(WriteEnd end) {
		this.resolvedWrites.labelValues(end.name().toLowerCase(Locale.ROOT)).inc();
	}

	/**
	 * How the write of a row ends without an answer to its transaction.
	 */
	enum WriteEnd {

		/**
		 * A read has found the row.
		 */
		FOUND,

		/**
		 * The row was not sent, since its outcome was not expected in time.
		 */
		REJECTED,

		/**
		 * The caller was answered before the row was sent.
		 */
		UNSENT,

		/**
		 * The caller was answered before the outcome was known.
		 */
		UNRESOLVED

	}

}
