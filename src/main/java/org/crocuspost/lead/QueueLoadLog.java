package org.crocuspost.lead;

import java.time.Duration;
import java.util.List;

import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.dispatch.ImagePressure;
import org.crocuspost.dispatch.QueueLoad;
import org.crocuspost.dispatch.ServicePacking;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs the work of each queue at a fixed interval, so that an overload in which many jobs
 * are begun and few are completed in time can be told from one in which jobs wait.
 */
final class QueueLoadLog {

	private static final Duration INTERVAL = Duration.ofSeconds(2);

	private static final Duration IMAGE_INTERVAL = Duration.ofSeconds(10);

	/**
	 * Maximum number of images in a line.
	 */
	private static final int MAXIMUM_LISTED_IMAGES = 40;

	private final Dispatcher dispatcher;

	private final ImagePressure imagePressure;

	private final LeaderMetrics metrics;

	private final Clock clock;

	private long loggedNanos;

	private long imagesLoggedNanos;

	QueueLoadLog(Dispatcher dispatcher, ImagePressure imagePressure, LeaderMetrics metrics, Clock clock) {
		this.dispatcher = dispatcher;
		this.imagePressure = imagePressure;
		this.metrics = metrics;
		this.clock = clock;
		this.loggedNanos = clock.nanoTime();
		this.imagesLoggedNanos = this.loggedNanos;
	}

	/**
	 * Writes a line for each queue with work, and sets the metric of deferred jobs, if
	 * the interval since the previous lines has passed.
	 */
	void writeIfDue() {
		long now = this.clock.nanoTime();
		if (now - this.loggedNanos < INTERVAL.toNanos()) {
			return;
		}
		this.loggedNanos = now;
		this.dispatcher.load().deferredJobs().forEach(this.metrics::deferredJobs);
		int workersWithoutServices = this.dispatcher.load().workersWithoutServices();
		int wanted = this.dispatcher.load().wantedWorkersWithoutServices();
		this.metrics.workersWithoutServices(workersWithoutServices, wanted);
		for (QueueLoad load : this.dispatcher.load().byQueue()) {
			EventLog.info(LeadEvent.QUEUE_LOAD, Field.of("queue", load.queue()),
					Field.of("waitingJobs", load.waitingJobs()), Field.of("begunJobs", load.begunJobs()),
					Field.of("lateJobs", load.lateJobs()), Field.of("unfinishedTasks", load.unfinishedTasks()),
					Field.of("assignedTasks", load.assignedTasks()),
					Field.of("assignedMilliCores", load.assignedMilliCores()),
					Field.of("usedMilliCores", load.usedMilliCores()),
					Field.of("workersWithoutServices", workersWithoutServices),
					Field.of("wantedWorkersWithoutServices", wanted));
		}
		for (ServicePacking packing : this.dispatcher.load().servicePackings()) {
			EventLog.info(LeadEvent.SERVICE_PACKING, Field.of("service", packing.service()),
					Field.of("workers", packing.workers()), Field.of("occupiedWorkers", packing.occupiedWorkers()),
					Field.of("fewestWorkers", packing.fewestWorkers()),
					Field.of("capacityMilliCores", packing.capacityMilliCores()),
					Field.of("serviceMilliCores", packing.serviceMilliCores()),
					Field.of("otherMilliCores", packing.otherMilliCores()));
		}
		writeImagePressure(now);
	}

	private void writeImagePressure(long now) {
		if (now - this.imagesLoggedNanos < IMAGE_INTERVAL.toNanos()) {
			return;
		}
		this.imagesLoggedNanos = now;
		List<String> weights = this.imagePressure.write().lines().limit(MAXIMUM_LISTED_IMAGES).toList();
		if (!weights.isEmpty()) {
			EventLog.info(LeadEvent.IMAGE_PRESSURE, Field.of("weights", weights));
		}
	}

}
