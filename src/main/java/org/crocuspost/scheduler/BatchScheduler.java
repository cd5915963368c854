package org.crocuspost.scheduler;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vavr.control.Option;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerIdentity.Role;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.WorkerReportReply;
import org.jspecify.annotations.Nullable;

/**
 * Scheduler of batch tasks. Holds the scheduling leases of some failure domains, answers
 * the reports of their agents and runs rounds on the timer. All lasting state is in the
 * table; what is in memory is a copy.
 */
public final class BatchScheduler implements PeerListener {

	private final SchedulingSettings settings;

	private final Timer timer;

	private final WorkerDirectory workers;

	private final ShardLeases leases;

	private final ReportAnswers answers;

	private final SchedulingRound round;

	private final SchedulerView view;

	private final List<WorkerReportListener> reportListeners = new CopyOnWriteArrayList<>();

	private @Nullable Cancellable rounds;

	/**
	 * Creates the scheduler. It does nothing until it is started.
	 * @param settings the settings
	 * @param self this process
	 * @param table the table service
	 * @param configuration gives the newest configuration
	 * @param policy chooses workers
	 * @param clock the clock
	 * @param timer runs the rounds, one at a time
	 */
	public BatchScheduler(SchedulingSettings settings, PeerIdentity self, TableService table,
			ConfigurationSource configuration, PlacementPolicy policy, Clock clock, Timer timer) {
		this.settings = settings;
		this.timer = timer;
		this.workers = new WorkerDirectory(clock, settings.times().workerLive());
		this.leases = new ShardLeases(settings, self, table, clock);
		RenewalPermissions permissions = new RenewalPermissions(settings.permission(), clock);
		TaskTable tasks = new TaskTable(table);
		this.answers = new ReportAnswers(this.leases, tasks, permissions);
		this.round = new SchedulingRound(settings, self, table, configuration, policy, clock, this.workers, this.leases,
				permissions, tasks, this.answers);
		this.view = new DefaultSchedulerView(configuration, tasks, this.workers, this.leases, this.round);
	}

	/**
	 * Starts the rounds.
	 */
	public void start() {
		this.rounds = this.timer.repeat(this.settings.times().round(), this.round::run);
	}

	/**
	 * Ends the rounds and gives the leases back, so that another scheduler takes over at
	 * once.
	 */
	public void stop() {
		if (this.rounds != null) {
			this.rounds.cancel();
		}
		this.leases.release();
	}

	/**
	 * Adds a listener that is told of each report.
	 * @param listener the listener
	 */
	public void addReportListener(WorkerReportListener listener) {
		this.reportListeners.add(listener);
	}

	/**
	 * Returns what operators may see.
	 * @return the view
	 */
	public SchedulerView view() {
		return this.view;
	}

	/**
	 * Returns the epoch under which this process holds the lease of a failure domain.
	 * @param domain the failure domain
	 * @return the epoch, or none if this process holds no valid lease
	 */
	public Option<Long> heldEpoch(String domain) {
		return this.leases.find(domain).flatMap((lease) -> lease.token()).map((token) -> token.epoch());
	}

	@Override
	public void connected(Peer peer) {
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (!frame.hasWorkerReport() || peer.identity().role() != Role.AGENT) {
			return;
		}
		this.workers.update(peer, frame.getWorkerReport());
		this.reportListeners.forEach((listener) -> listener.reportReceived(frame.getWorkerReport()));
		WorkerReportReply.Builder reply = this.answers.answer(peer, frame.getWorkerReport()).toBuilder();
		this.reportListeners.forEach((listener) -> listener.completeReply(frame.getWorkerReport(), reply));
		peer.send(Frame.newBuilder()
			.setCorrelation(frame.getCorrelation())
			.setAnswer(true)
			.setWorkerReportReply(reply)
			.build());
	}

	@Override
	public void disconnected(Peer peer) {
	}

}
