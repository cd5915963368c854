package org.crocuspost.worker;

import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

/**
 * Adds to each report what another part of the agent knows.
 */
@FunctionalInterface
public interface ReportContributor {

	/**
	 * Contributor that adds nothing.
	 */
	ReportContributor NONE = (report) -> {
	};

	/**
	 * Completes a report. Must not block.
	 * @param report the report
	 */
	void contribute(WorkerReport.Builder report);

	/**
	 * The scheduler has answered a report. Must not block.
	 * @param reply the answer
	 */
	default void replyReceived(WorkerReportReply reply) {
	}

}
