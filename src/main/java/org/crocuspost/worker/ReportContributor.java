package org.crocuspost.worker;

import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

/**
 * Adds data of another component of the agent to each worker report.
 */
@FunctionalInterface
public interface ReportContributor {

	/**
	 * A contributor that adds nothing.
	 */
	ReportContributor NONE = (report) -> {
	};

	/**
	 * Adds data to a report before it is sent. Must not block.
	 * @param report the report
	 */
	void contribute(WorkerReport.Builder report);

	/**
	 * Processes the reply of the scheduler to a report. Must not block.
	 * @param reply the reply
	 */
	default void replyReceived(WorkerReportReply reply) {
	}

}
