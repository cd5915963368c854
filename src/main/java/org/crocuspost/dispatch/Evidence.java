package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.wire.HostReport;

/**
 * Holds the information on which the leader based the decision that a run is lost.
 *
 * @param agentIncarnation the incarnation of the agent whose report or record led to the
 * decision; empty if the lease lapsed
 * @param age the age of the worker's lists in the report, the age of the record, or the
 * time since the lease was last extended or, before that, since the latest moment from
 * which a former leader's extension may count
 * @param basis the kind of information, or the moment from which the lease was counted
 */
public record Evidence(String agentIncarnation, Duration age, EvidenceBasis basis) {

	public Evidence {
		Objects.requireNonNull(agentIncarnation, "agentIncarnation");
		Objects.requireNonNull(age, "age");
		Objects.requireNonNull(basis, "basis");
	}

	/**
	 * Creates the evidence of a report.
	 * @param agentIncarnation the incarnation of the agent
	 * @param age the age of the worker's lists in the report
	 */
	public Evidence(String agentIncarnation, Duration age) {
		this(agentIncarnation, age, EvidenceBasis.REPORT);
	}

	static Evidence of(HostReport report) {
		return new Evidence(report.getLife(), Duration.ofMillis(report.getListsAgeMillis()));
	}

	static Evidence of(Departure departure, long nowMillis) {
		return new Evidence(departure.agentIncarnation(),
				Duration.ofMillis(Math.max(0, nowMillis - departure.detectedMillis())), EvidenceBasis.DEPARTURE);
	}

	static Evidence ofTimeout(Duration elapsed, EvidenceBasis basis) {
		return new Evidence("", elapsed, basis);
	}

}
