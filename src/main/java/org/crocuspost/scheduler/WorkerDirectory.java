package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.crocuspost.peer.Peer;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.WorkerReport;

/**
 * Holds the newest report of each worker. Safe for use by several threads.
 */
final class WorkerDirectory {

	private final Clock clock;

	private final Duration maxReportAge;

	private final Map<String, WorkerState> workers = new ConcurrentHashMap<>();

	WorkerDirectory(Clock clock, Duration maxReportAge) {
		this.clock = clock;
		this.maxReportAge = maxReportAge;
	}

	/**
	 * Stores a report. An older report that arrives late on the same connection is
	 * ignored.
	 * @param peer the connection
	 * @param report the report
	 */
	void update(Peer peer, WorkerReport report) {
		WorkerState state = WorkerState.of(peer, report, Stopwatch.start(this.clock));
		this.workers.merge(report.getWorker(), state, WorkerDirectory::newer);
	}

	private static WorkerState newer(WorkerState stored, WorkerState arrived) {
		boolean late = stored.peer() == arrived.peer() && stored.sequence() > arrived.sequence();
		return late ? stored : arrived;
	}

	/**
	 * Stores the report of one attempt from the answer to a command. It is ignored if the
	 * newest report of the worker arrived over another connection.
	 * @param worker the worker
	 * @param peer the connection that answered
	 * @param attempt the attempt
	 */
	void update(String worker, Peer peer, AttemptReport attempt) {
		this.workers.computeIfPresent(worker,
				(name, state) -> (state.peer() == peer) ? state.withAttempt(attempt) : state);
	}

	Option<WorkerState> find(String worker) {
		return Option.of(this.workers.get(worker));
	}

	List<WorkerState> inDomain(String domain) {
		return this.workers.values().stream().filter((state) -> state.domain().equals(domain)).toList();
	}

	List<WorkerState> all() {
		return List.copyOf(this.workers.values());
	}

	boolean isLive(WorkerState state) {
		return state.peer().open() && state.sinceReceived().observerElapsed().compareTo(this.maxReportAge) < 0;
	}

	long liveMilliCores(String domain) {
		return inDomain(domain).stream().filter(this::isLive).mapToLong((state) -> state.capacity().milliCores()).sum();
	}

}
