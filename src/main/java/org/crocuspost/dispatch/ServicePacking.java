package org.crocuspost.dispatch;

/**
 * How many workers the services of one pool occupy, and how few could hold them.
 *
 * @param service the service whose workers these are
 * @param workers the number of workers that accept tasks
 * @param occupiedWorkers the number of these that run a task with a latency target
 * @param fewestWorkers a lower bound of the number of workers that could hold these
 * tasks: by their processor capacity and by the limits of each step per worker. It
 * assumes that tasks can be divided, so fewer workers never suffice
 * @param capacityMilliCores the processor capacity of the workers, in thousandths of a
 * core
 * @param serviceMilliCores the processor capacity that tasks with a latency target
 * reserve, in thousandths of a core
 * @param otherMilliCores the processor capacity that other tasks reserve, in thousandths
 * of a core
 */
public record ServicePacking(String service, int workers, int occupiedWorkers, int fewestWorkers,
		long capacityMilliCores, long serviceMilliCores, long otherMilliCores) {
}
