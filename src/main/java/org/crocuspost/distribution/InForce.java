package org.crocuspost.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether a version is in force.
 *
 * @param version the version
 * @param everywhere whether every process acts on it or a newer one
 * @param awaited processes that have not confirmed it, as far as they are named
 */
public record InForce(long version, boolean everywhere, List<AwaitedProcess> awaited) {

	public InForce {
		awaited = List.copyOf(awaited);
	}

	/**
	 * Judges a version by the summaries of all live processes.
	 * @param version the version
	 * @param processes the summaries
	 * @return whether the version is in force
	 */
	public static InForce of(long version, List<ProcessConfirmation> processes) {
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
		return new InForce(version, everywhere, awaited.stream().distinct().toList());
	}

}
