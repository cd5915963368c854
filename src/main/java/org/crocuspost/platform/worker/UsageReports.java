package org.crocuspost.platform.worker;

import java.util.List;

/**
 * Usage reports in an answer of the worker runtime.
 *
 * @param reports the reports
 */
public record UsageReports(List<UsageReport> reports) {

	public UsageReports {
		reports = List.copyOf(reports);
	}

}
