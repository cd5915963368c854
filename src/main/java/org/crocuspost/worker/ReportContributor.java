package org.crocuspost.worker;

import org.crocuspost.wire.WorkerReport;

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
	void complete(WorkerReport.Builder report);

}
