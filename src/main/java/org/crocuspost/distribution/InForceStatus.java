package org.crocuspost.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of a check whether a configuration version is in force, that is, whether every
 * live process acts on it or on a newer version.
 *
 * @param version the version
 * @param inForce whether the version is in force
 * @param awaited processes that have not confirmed the version; a summary lists a limited
 * number of agents
 */
public record InForceStatus(long version, boolean inForce, List<AwaitedProcess> awaited) {

	public InForceStatus {
		awaited = List.copyOf(awaited);
	}

	/**
	 * Checks from the summaries of all live processes whether a version is in force.
	 * Without any process it is not.
	 * @param version the version
	 * @param processes the summaries
	 * @return the result of the check
	 */
	public static InForceStatus of(long version, List<ProcessConfirmation> processes) {
		List<AwaitedProcess> awaited = new ArrayList<>();
		boolean everywhere = !processes.isEmpty();
		for (ProcessConfirmation process : processes) {
			ConfirmationSummary summary = process.summary();
			everywhere &= summary.lowestVersion() >= version;
			if (summary.version() < version) {
				awaited.add(new AwaitedProcess(process.role(), process.name(), summary.version()));
			}
			summary.awaited().stream().filter((agent) -> agent.version() < version).forEach(awaited::add);
		}
		return new InForceStatus(version, everywhere, awaited.stream().distinct().toList());
	}

}
