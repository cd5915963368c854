package org.crocuspost.scheduler;

import org.crocuspost.wire.WorkerReport;

/**
 * Is told of each report of a worker. Called on network threads, so an implementation
 * must not block.
 */
@FunctionalInterface
public interface WorkerReportListener {

	/**
	 * A worker has reported.
	 * @param report the report
	 */
	void reported(WorkerReport report);

}
