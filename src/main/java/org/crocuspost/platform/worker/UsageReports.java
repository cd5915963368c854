package org.crocuspost.platform.worker;

import java.util.List;

/**
 * Body of a worker runtime response that lists usage reports.
 *
 * @param reports the reports
 */
public record UsageReports(List<UsageReport> reports) {

	public UsageReports {
		reports = List.copyOf(reports);
	}

}
