package org.crocuspost.lead;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.EventLoop;
import org.crocuspost.dispatch.DefaultPlacementPolicy;
import org.crocuspost.dispatch.Departure;
import org.crocuspost.dispatch.DispatchBatch;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.dispatch.ImagePressure;
import org.crocuspost.dispatch.ReportProcessor;
import org.crocuspost.hostlink.HostLink;
import org.crocuspost.hostlink.HostLinkListener;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.SubmissionCodec;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.Sockets;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.crocuspost.wire.StartOrder;

/**
 * One term of leadership: from the won row to the loss of it. Reads the store, hears the
 * hosts, and carries the dispatcher's decisions to the store and to the hosts. Used on
 * the event loop only.
 */
final class Leader implements RowWatchListener, HostLinkListener {

	private final RowStore store;

	private final LeaderRecord record;

	private final OperatorView operator;

	private final EventLoop loop;

	private final Clock clock;

	private final Timer timer;

	private final DispatchSettings settings;

	private final Recorder recorder;

	private final Dispatcher dispatcher;

	private final ReportProcessor reports;

	private final RowWatch intake;

	private final Map<String, HostLink> links = new HashMap<>();

	private final Map<String, String> addresses = new HashMap<>();

	private final Map<String, String> storedProgress = new HashMap<>();

	private final RemovedJobs removedJobs = new RemovedJobs();

	private final long takeoverNanos;

	private final Cancellable ticks;

	private boolean restored;

	private boolean closed;

	private boolean scheduled;

	private boolean resigning;

	Leader(RowStore store, LeaderRecord record, long version, OperatorView operator, DispatchSettings settings,
			LeaderMetrics metrics, EventLoop loop, Clock clock, Timer timer, Runnable deposed) {
		this.store = store;
		this.record = record;
		this.operator = operator;
		this.settings = settings;
		this.loop = loop;
		this.clock = clock;
		this.timer = timer;
		this.recorder = new Recorder(store, record, version, clock, timer, deposed);
		ImagePressure imagePressure = new ImagePressure();
		this.dispatcher = new Dispatcher(settings, new DefaultPlacementPolicy(imagePressure), clock,
				new DecisionLog(metrics));
		this.reports = new ReportProcessor(this.dispatcher, imagePressure);
		this.intake = new RowWatch(store, Tables.INTAKE, TableWatchSettings.INTAKE_WATCH, this, clock, timer);
		this.takeoverNanos = clock.nanoTime();
		this.ticks = timer.repeat(LeadershipTimings.TICK, this::tick);
		readProgress("");
	}

	private void readProgress(String fromKey) {
		this.store.scan(Tables.LEDGER, fromKey, (answer) -> {
			if (this.closed) {
				return;
			}
			if (answer.isLeft()) {
				this.timer.schedule(LeadershipTimings.RETRY_PAUSE, () -> readProgress(fromKey));
				return;
			}
			List<StoredRow> rows = answer.get().rows();
			for (StoredRow row : rows) {
				if (row.key().startsWith(Tables.PROGRESS_PREFIX)) {
					this.storedProgress.put(row.key().substring(Tables.PROGRESS_PREFIX.length()), row.value());
				}
			}
			if (answer.get().complete()) {
				this.intake.start();
			}
			else {
				readProgress(rows.get(rows.size() - 1).key() + RowStore.KEY_SUCCESSOR_SUFFIX);
			}
		});
	}

	@Override
	public void tableRead(List<StoredRow> rows) {
		rows.forEach(this::learn);
		if (!this.restored) {
			this.restored = true;
			EventLog.info(LeadEvent.STATE_RESTORED, Field.of("epoch", this.record.epoch()),
					Field.of("rows", rows.size()), Field.of("progress", this.storedProgress.size()),
					Field.of("hosts", this.links.size()));
			this.storedProgress.clear();
		}
		wake();
	}

	@Override
	public void rowsChanged(List<StoredRow> rows) {
		rows.forEach(this::learn);
		wake();
	}

	private void learn(StoredRow row) {
		if (!row.exists()) {
			return;
		}
		if (row.key().startsWith(Tables.JOB_PREFIX)) {
			learnJob(row);
		}
		else if (row.key().startsWith(Tables.CANCELLATION_PREFIX)) {
			this.dispatcher.cancelled(row.key().substring(Tables.CANCELLATION_PREFIX.length())).forEach(this::stopNow);
		}
		else if (row.key().startsWith(Tables.HOST_PREFIX)) {
			learnHost(row.key().substring(Tables.HOST_PREFIX.length()), row.value());
		}
		else if (row.key().startsWith(Tables.DEPARTURE_PREFIX)) {
			Departure.read(row.value())
				.ifPresentOrElse(
						(departure) -> this.reports.departed(row.key().substring(Tables.DEPARTURE_PREFIX.length()), departure),
						() -> EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()),
								Field.of("version", row.version()), Field.of("reason", "malformed departure")));
		}
	}

	private void learnJob(StoredRow row) {
		String id = row.key().substring(Tables.JOB_PREFIX.length());
		if (this.removedJobs.removedAfter(id, row.version())) {
			EventLog.info(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", "the job has been removed since"));
			return;
		}
		try {
			JobSubmission submission = SubmissionCodec.read(id, row.value());
			this.dispatcher.submitted(submission, Optional.ofNullable(this.storedProgress.get(id)));
		}
		catch (IOException | IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	private void learnHost(String host, String address) {
		if (address.equals(this.addresses.put(host, address))) {
			return;
		}
		HostLink former = this.links.remove(host);
		if (former != null) {
			former.close();
		}
		try {
			HostLink link = new HostLink(host, Sockets.address(address),
					LeaderHello.newBuilder().setEpoch(this.record.epoch()).setLeader(this.record.name()).build(),
					this.loop, this.timer, this.clock, this);
			this.links.put(host, link);
			link.open();
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", Tables.HOST_PREFIX + host),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	@Override
	public void connected(String host, boolean open) {
		this.reports.connected(host, open);
		EventLog.info(LeadEvent.HOST_CHANGED, Field.of("host", host),
				Field.of("belief", open ? "connected" : "disconnected"));
		if (open) {
			send(host, LeaderMessage.newBuilder());
		}
	}

	@Override
	public void reported(HostReport report) {
		if (!this.restored) {
			return;
		}
		ReportProcessor.Response reaction = this.reports.reported(report, mayGrant());
		send(report.getHost(),
				LeaderMessage.newBuilder()
					.setLeaseStamp(reaction.leaseStamp())
					.setRecordedEnds(reaction.recordedEnds())
					.addAllStops(reaction.stops())
					.addAllTraits(reaction.traits()));
		wake();
	}

	private boolean mayGrant() {
		return this.clock.nanoTime() - this.recorder.confirmedNanos() < LeadershipTimings.GRANTS_WITHOUT_STORE.toNanos();
	}

	private void stopNow(String host) {
		LeaderMessage.Builder message = LeaderMessage.newBuilder();
		this.reports.runsOfEndedJobs(host).forEach(message::addStops);
		send(host, message);
	}

	private void send(String host, LeaderMessage.Builder message) {
		HostLink link = this.links.get(host);
		if (link != null) {
			link.send(message.setOrder(this.reports.newestOrder(host))
				.setWorkerBorn(this.reports.workerBorn(host))
				.build());
		}
	}

	private void tick() {
		if (this.closed) {
			return;
		}
		this.links.values().forEach(HostLink::checkSilence);
		if (this.restored) {
			this.reports.expireLeases(LeadershipTimings.GRANTS_WITHOUT_STORE.plus(this.settings.leaseTimeout()), this.takeoverNanos);
			decide();
		}
		else if (!this.recorder.busy()) {
			renewIfDue();
		}
	}

	/**
	 * Decides soon, together with whatever else comes in until then.
	 */
	private void wake() {
		if (this.restored && !this.scheduled && !this.closed) {
			this.scheduled = true;
			this.timer.schedule(LeadershipTimings.GATHER, () -> {
				this.scheduled = false;
				decide();
			});
		}
	}

	private void decide() {
		if (this.closed || this.resigning || this.recorder.busy()) {
			return;
		}
		this.operator.configuration().ifPresent(this.dispatcher::configure);
		this.dispatcher.setEvacuatedDomains(this.operator.evacuatedDomains());
		if (this.operator.age().compareTo(LeadershipTimings.OPERATOR_VIEW) < 0 && this.recorder.confirmed()) {
			this.dispatcher.schedule();
		}
		if (this.dispatcher.hasChanges()) {
			recordChanges();
		}
		else {
			renewIfDue();
		}
	}

	private void renewIfDue() {
		if (this.clock.nanoTime() - this.recorder.confirmedNanos() > LeadershipTimings.RENEWAL.toNanos()) {
			this.recorder.write(this.record.name(), List.of(), List.of(), this::wake);
		}
	}

	private void recordChanges() {
		DispatchBatch batch = this.dispatcher.takeBatch(LeadershipTimings.JOBS_A_TRANSACTION);
		List<RowTransaction.Write> writes = new ArrayList<>();
		batch.jobs()
			.forEach((id, progress) -> writes
				.add(new RowTransaction.Write(Tables.LEDGER, Tables.PROGRESS_PREFIX + id, progress)));
		List<RowTransaction.Removal> removals = new ArrayList<>();
		for (String id : batch.removals()) {
			removals.add(new RowTransaction.Removal(Tables.LEDGER, Tables.PROGRESS_PREFIX + id));
			removals.add(new RowTransaction.Removal(Tables.INTAKE, Tables.JOB_PREFIX + id));
			removals.add(new RowTransaction.Removal(Tables.INTAKE, Tables.CANCELLATION_PREFIX + id));
		}
		this.recorder.write(this.record.name(), writes, removals, () -> {
			this.removedJobs.add(batch.removals(), this.recorder.version());
			recorded(batch);
		});
	}

	private void recorded(DispatchBatch batch) {
		boolean current = this.operator.age().compareTo(LeadershipTimings.OPERATOR_VIEW) < 0;
		this.dispatcher.setEvacuatedDomains(this.operator.evacuatedDomains());
		Map<String, List<StartOrder>> orders = new LinkedHashMap<>(this.dispatcher.recorded(batch, current));
		batch.ends().keySet().forEach((host) -> orders.putIfAbsent(host, List.of()));
		orders.forEach((host, starts) -> send(host,
				LeaderMessage.newBuilder().addAllStarts(starts).setRecordedEnds(this.reports.recordedEnds(host))));
		if (this.dispatcher.hasChanges()) {
			wake();
		}
	}

	/**
	 * Gives the leadership up, so that another process takes over at once.
	 * @param done runs when the store has confirmed it
	 */
	void resign(Runnable done) {
		this.resigning = true;
		if (this.recorder.busy()) {
			this.timer.schedule(LeadershipTimings.GATHER, () -> resign(done));
			return;
		}
		EventLog.info(LeadEvent.LEADERSHIP_RESIGNED, Field.of("epoch", this.record.epoch()));
		this.recorder.write("", List.of(), List.of(), () -> {
			close();
			done.run();
		});
	}

	void close() {
		this.closed = true;
		this.ticks.cancel();
		this.recorder.close();
		this.intake.close();
		this.links.values().forEach(HostLink::close);
	}

}
