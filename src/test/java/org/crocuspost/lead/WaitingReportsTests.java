package org.crocuspost.lead;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RefusedStart;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitingReportsTests {

	private final WaitingReports reports = new WaitingReports();

	private void add(String host, String refusal) {
		this.reports.add(
				HostReport.newBuilder().setHost(host).addRefused(RefusedStart.newBuilder().setReason(refusal)).build());
	}

	private List<String> pollAll() {
		return Stream.generate(this.reports::poll)
			.takeWhile(Optional::isPresent)
			.map(Optional::get)
			.map((report) -> report.getHost()
					+ report.getRefusedList().stream().map(RefusedStart::getReason).sorted().toList())
			.toList();
	}

	/**
	 * Guards against a host whose reports wait behind those of hosts that report more
	 * often, against refusals that are lost with a replaced report, and against a report
	 * of a former connection.
	 */
	@Test
	void newestReportOfEachHostIsProcessedInTurn() {
		add("one", "a");
		add("two", "b");
		add("gone", "c");
		add("one", "d");
		this.reports.remove("gone");
		assertThat(pollAll()).containsExactly("one[a, d]", "two[b]");
		assertThat(this.reports.poll()).isEmpty();
	}

}
