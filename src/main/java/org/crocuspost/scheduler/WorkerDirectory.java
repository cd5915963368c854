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
 * The newest report of each worker. Safe for use by several threads.
 */
final class WorkerDirectory {

	private final Clock clock;

	private final Duration live;

	private final Map<String, WorkerState> workers = new ConcurrentHashMap<>();

	WorkerDirectory(Clock clock, Duration live) {
		this.clock = clock;
		this.live = live;
	}

	/**
	 * Takes in a report. An older report that arrives late on the same connection is
	 * ignored.
	 * @param peer the connection
	 * @param report the report
	 */
	void update(Peer peer, WorkerReport report) {
		WorkerState state = WorkerState.of(peer, report, Stopwatch.start(this.clock));
		this.workers.merge(report.getWorker(), state, WorkerDirectory::newer);
	}

	private static WorkerState newer(WorkerState known, WorkerState arrived) {
		boolean late = known.peer() == arrived.peer() && known.sequence() > arrived.sequence();
		return late ? known : arrived;
	}

	/**
	 * Takes in what a command's answer says about one attempt.
	 * @param worker the worker
	 * @param peer the connection that answered
	 * @param attempt the attempt
	 */
	void update(String worker, Peer peer, AttemptReport attempt) {
		this.workers.computeIfPresent(worker, (name, state) -> (state.peer() == peer) ? state.with(attempt) : state);
	}

	Option<WorkerState> find(String worker) {
		return Option.of(this.workers.get(worker));
	}

	List<WorkerState> in(String domain) {
		return this.workers.values().stream().filter((state) -> state.domain().equals(domain)).toList();
	}

	List<WorkerState> all() {
		return List.copyOf(this.workers.values());
	}

	boolean live(WorkerState state) {
		return state.peer().open() && state.received().observerElapsed().compareTo(this.live) < 0;
	}

	long milliCores(String domain) {
		return in(domain).stream().filter(this::live).mapToLong((state) -> state.capacity().milliCores()).sum();
	}

}
