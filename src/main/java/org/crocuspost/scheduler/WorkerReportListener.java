package org.crocuspost.scheduler;

import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

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
	void reportReceived(WorkerReport report);

	/**
	 * The scheduler is about to answer a report. By default nothing is added.
	 * @param report the report
	 * @param reply the answer, to be completed
	 */
	default void completeReply(WorkerReport report, WorkerReportReply.Builder reply) {
	}

}
