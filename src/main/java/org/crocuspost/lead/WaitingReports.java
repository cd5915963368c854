package org.crocuspost.lead;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.wire.HostReport;

/**
 * Holds the newest report of each host until it is processed. A report describes its host
 * as a whole, so it replaces an earlier one, except for the refused starts, which are
 * reported once.
 */
final class WaitingReports {

	private final Map<String, HostReport> reports = new LinkedHashMap<>();

	/**
	 * Adds a report. Its host keeps its place in the order.
	 * @param report the report
	 */
	void add(HostReport report) {
		this.reports.merge(report.getHost(), report,
				(former, next) -> next.toBuilder().addAllRefused(former.getRefusedList()).build());
	}

	/**
	 * Removes the report that has been waiting for longest.
	 * @return the report; empty if none waits
	 */
	Optional<HostReport> poll() {
		Iterator<HostReport> iterator = this.reports.values().iterator();
		if (!iterator.hasNext()) {
			return Optional.empty();
		}
		HostReport report = iterator.next();
		iterator.remove();
		return Optional.of(report);
	}

	/**
	 * Discards the report of a host.
	 * @param host the name of the host
	 */
	void remove(String host) {
		this.reports.remove(host);
	}

}
