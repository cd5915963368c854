package org.crocuspost.scheduler;

import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

/**
 * Receives each worker report and may complete the answer. Called on network threads, so
 * an implementation must not block.
 */
@FunctionalInterface
public interface WorkerReportListener {

	/**
	 * Called when a worker report was received.
	 * @param report the report
	 */
	void reportReceived(WorkerReport report);

	/**
	 * Called before the scheduler answers a report. By default nothing is added to the
	 * answer.
	 * @param report the report
	 * @param reply the answer, to be completed
	 */
	default void completeReply(WorkerReport report, WorkerReportReply.Builder reply) {
	}

}
