package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.wire.HostReport;

/**
 * What the leader's conclusion that a run is lost rests on.
 *
 * @param agentIncarnation the life of the agent whose report or record decided it; empty if silence
 * did
 * @param age how old the worker's lists in the report were, or the record, or how long
 * the silence was
 */
public record Evidence(String agentIncarnation, Duration age) {

	public Evidence {
		Objects.requireNonNull(agentIncarnation, "agent");
		Objects.requireNonNull(age, "age");
	}

	static Evidence of(HostReport report) {
		return new Evidence(report.getLife(), Duration.ofMillis(report.getListsAgeMillis()));
	}

	static Evidence of(Departure departure, long nowMillis) {
		return new Evidence(departure.agent(), Duration.ofMillis(Math.max(0, nowMillis - departure.atMillis())));
	}

	static Evidence ofSilence(Duration silence) {
		return new Evidence("", silence);
	}

}
