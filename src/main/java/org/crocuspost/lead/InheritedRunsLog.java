package org.crocuspost.lead;

import java.time.Duration;
import java.util.List;

import org.crocuspost.dispatch.InheritedHost;
import org.crocuspost.dispatch.LoadMeasurements;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Timer;

/**
 * Logs which hosts with runs of former leaders have not reported to a new leader. It
 * waits for the lease of such a host before it starts the tasks elsewhere.
 */
final class InheritedRunsLog {

	/**
	 * Time from the end of the restoration to the line. Agents that live have connected
	 * and reported by then.
	 */
	static final Duration DELAY = Duration.ofSeconds(2);

	/**
	 * Maximum number of hosts that the line names.
	 */
	static final int MAXIMUM_LISTED_HOSTS = 12;

	private final LoadMeasurements load;

	private boolean closed;

	InheritedRunsLog(LoadMeasurements load) {
		this.load = load;
	}

	int runs() {
		return this.load.inheritedHosts().stream().mapToInt(InheritedHost::runs).sum();
	}

	int hosts() {
		return this.load.inheritedHosts().size();
	}

	/**
	 * Writes the line after the delay, if there are inherited runs.
	 * @param epoch the epoch of the leader
	 * @param timer the timer
	 */
	void schedule(long epoch, Timer timer) {
		int inherited = hosts();
		if (inherited > 0) {
			timer.schedule(DELAY, () -> write(epoch, inherited));
		}
	}

	void close() {
		this.closed = true;
	}

	private void write(long epoch, int inherited) {
		if (this.closed) {
			return;
		}
		List<InheritedHost> awaited = this.load.inheritedHosts().stream().filter((host) -> !host.reported()).toList();
		EventLog.info(LeadEvent.INHERITED_HOSTS_CHECKED, Field.of("epoch", epoch),
				Field.of("hostsWithInheritedRuns", inherited), Field.of("withoutReport", awaited.size()),
				Field.of("runsWithoutReport", awaited.stream().mapToInt(InheritedHost::runs).sum()),
				Field.of("hosts", awaited.stream().map(InheritedHost::host).limit(MAXIMUM_LISTED_HOSTS).toList()));
	}

}
