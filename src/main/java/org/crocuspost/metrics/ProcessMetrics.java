package org.crocuspost.metrics;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Registers metrics of the Java process: processor time, heap memory, threads and garbage
 * collection.
 */
public final class ProcessMetrics {

	private ProcessMetrics() {
	}

	/**
	 * Registers the metrics.
	 * @param registry the metrics registry of the process
	 */
	public static void register(PrometheusRegistry registry) {
		CounterWithCallback.builder()
			.name("process_cpu_seconds_total")
			.help("Processor time that the process has used, in seconds.")
			.callback((callback) -> callback.call(processorSeconds()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("crocuspost_heap_used_bytes")
			.help("Heap memory in use, in bytes.")
			.callback((callback) -> callback.call(ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("crocuspost_threads")
			.help("Live threads.")
			.callback((callback) -> callback.call(ManagementFactory.getThreadMXBean().getThreadCount()))
			.register(registry);
		CounterWithCallback.builder()
			.name("crocuspost_garbage_collection_seconds_total")
			.help("Time spent in garbage collection, in seconds.")
			.callback((callback) -> callback.call(garbageCollectionSeconds()))
			.register(registry);
	}

	private static double processorSeconds() {
		OperatingSystemMXBean bean = ManagementFactory.getOperatingSystemMXBean();
		if (bean instanceof com.sun.management.OperatingSystemMXBean platformBean) {
			return Math.max(0, platformBean.getProcessCpuTime()) / (double) TimeUnit.SECONDS.toNanos(1);
		}
		return 0;
	}

	private static double garbageCollectionSeconds() {
		long milliseconds = ManagementFactory.getGarbageCollectorMXBeans()
			.stream()
			.mapToLong(GarbageCollectorMXBean::getCollectionTime)
			.filter((time) -> time > 0)
			.sum();
		return milliseconds / (double) TimeUnit.SECONDS.toMillis(1);
	}

}
