package org.crocuspost.lead;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.crocuspost.dispatch.DefaultPlacementPolicy;
import org.crocuspost.dispatch.Departure;
import org.crocuspost.dispatch.DispatchBatch;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.dispatch.ImagePressure;
import org.crocuspost.dispatch.ReportProcessor;
import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.error.Failure;
import org.crocuspost.hostlink.HostConnection;
import org.crocuspost.hostlink.HostConnector;
import org.crocuspost.hostlink.HostLinkListener;
import org.crocuspost.job.JobSummary;
import org.crocuspost.job.SubmissionCodec;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.Sockets;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.IsolatedRows;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.rows.TableReader;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.crocuspost.wire.StartOrder;

/**
 * One term of leadership, from winning the leader's row to losing it. Reads the store,
 * receives the reports of the hosts, and sends the dispatcher's decisions to the store
 * and to the hosts. Must be used on the event loop only.
 */
final class Leader implements RowWatchListener, HostLinkListener {

	private final RowStore store;

	private final LeaderRecord record;

	private final OperatorView operator;

	private final HostConnector connector;

	private final Clock clock;

	private final Timer timer;

	private final DispatchSettings settings;

	private final TrafficLog trafficLog;

	private final QueueLoadLog queueLoadLog;

	private final RecordBacklogLog recordBacklogLog;

	private final UnavailableTaskLog unavailableTaskLog;

	private final UnavailableJobLog unavailableJobLog;

	private final RestorationLog restorationLog;

	private final DispatchSuspensionLog dispatchSuspensionLog;

	private final LeaderMetrics metrics;

	private final InheritedRunsLog inheritedRunsLog;

	private final FencedWriter writer;

	private final Dispatcher dispatcher;

	private final PassPacer passPacer;

	private final ReportProcessor reportProcessor;

	private final RowWatch intakeWatch;

	private final RowWatch submissionWatch;

	private final SubmissionCleanup submissionCleanup;

	private boolean hostsRead;

	private final Map<String, HostConnection> links = new HashMap<>();

	private final Map<String, String> addresses = new HashMap<>();

	private final RestoredRows restoredRows = new RestoredRows();

	private final ImagePressure imagePressure = new ImagePressure();

	private String recordedImages = "";

	private long imagesRecordedNanos;

	/**
	 * Parts of a batch that the store has rejected. They are recorded before any later
	 * batch, so that no row is replaced by an earlier state.
	 */
	private final Deque<DispatchBatch> rejectedParts = new ArrayDeque<>();

	private final RemovedJobs removedJobs = new RemovedJobs();

	private final RejectedJobs rejectedJobs;

	private final AdmissionPublisher admissionPublisher;

	private final RecordedSubmissions recordedSubmissions;

	private final long takeoverNanos;

	private FormerExtensions formerExtensions;

	private final Cancellable tickTimer;

	private boolean restored;

	private boolean closed;

	private boolean decisionScheduled;

	private boolean resigning;

	private boolean resignationSent;

	private boolean rejected;

	private boolean renewsFirst;

	private final WaitingReports waitingReports = new WaitingReports();

	private boolean reportsScheduled;

	private long lastTickNanos;

	Leader(RowStore store, LeaderRecord record, long version, FormerLeader predecessor,
			Optional<StoreClockReading> storeClock, FormerExtensions formerExtensions, OperatorView operator,
			DispatchSettings settings, LeaderMetrics metrics, TrafficCounters traffic, HostConnector connector,
			Clock clock, Timer timer, Runnable onLeadershipLost) {
		this.store = store;
		this.record = record;
		this.operator = operator;
		this.settings = settings;
		this.trafficLog = new TrafficLog(traffic, clock);
		this.connector = connector;
		this.clock = clock;
		this.timer = timer;
		this.formerExtensions = formerExtensions;
		this.writer = new FencedWriter(store, record, version, storeClock, formerExtensions.endMillis(), clock, timer,
				onLeadershipLost);
		this.dispatcher = new Dispatcher(settings, new DefaultPlacementPolicy(this.imagePressure), clock,
				new DecisionLog(metrics));
		this.passPacer = new PassPacer(clock);
		this.queueLoadLog = new QueueLoadLog(this.dispatcher, this.imagePressure, metrics, clock);
		this.recordBacklogLog = new RecordBacklogLog(this.dispatcher, clock);
		this.unavailableTaskLog = new UnavailableTaskLog(this.dispatcher.load(), metrics, clock);
		this.unavailableJobLog = new UnavailableJobLog(this.dispatcher.load(), metrics, clock);
		this.restorationLog = new RestorationLog(record.epoch(), clock);
		this.dispatchSuspensionLog = new DispatchSuspensionLog(clock);
		this.metrics = metrics;
		this.inheritedRunsLog = new InheritedRunsLog(this.dispatcher.load());
		this.rejectedJobs = new RejectedJobs(store, settings.retention(), clock);
		this.admissionPublisher = new AdmissionPublisher(this.dispatcher, record.epoch(), clock);
		this.reportProcessor = new ReportProcessor(this.dispatcher, this.imagePressure);
		this.reportProcessor.formerLeaders(record.epoch(), formerExtensions.endNanos());
		this.intakeWatch = new RowWatch(store, Tables.INTAKE, TableWatchSettings.INTAKE_WATCH, new IntakeListener(),
				clock, timer);
		this.submissionWatch = new RowWatch(store, Tables.SUBMISSIONS, TableWatchSettings.SUBMISSION_WATCH, this, clock,
				timer);
		this.recordedSubmissions = new RecordedSubmissions(this.submissionWatch, clock);
		this.submissionCleanup = new SubmissionCleanup(store, timer,
				(job, removalVersion) -> this.removedJobs.add(List.of(job), removalVersion));
		this.takeoverNanos = clock.nanoTime();
		this.lastTickNanos = this.takeoverNanos;
		this.imagesRecordedNanos = this.takeoverNanos;
		this.tickTimer = timer.repeat(LeadershipTimings.TICK_INTERVAL, this::tick);
		// Leases are extended only on a deadline of this leader in its row.
		writeFirstRow(predecessor);
		readTable(Tables.MODEL, this::readModel,
				() -> readTable(Tables.LEDGER, this.restoredRows::addJob, () -> readTable(Tables.TASKS,
						this.restoredRows::addTask, () -> watch(Tables.INTAKE, this.intakeWatch))));
	}

	private void watch(String table, RowWatch watch) {
		this.restorationLog.reading(table);
		watch.start();
	}

	/**
	 * Reads a table, and then continues. The tables that only leaders write cannot change
	 * any more once this leader holds the leader's row.
	 * @param table the table
	 * @param consumer receives each row
	 * @param next runs when the table is read
	 */
	private void readTable(String table, Consumer<StoredRow> consumer, Runnable next) {
		this.restorationLog.reading(table);
		new TableRead(table, consumer, next).read();
	}

	private void writeFirstRow(FormerLeader predecessor) {
		this.writer.write(this.record.name(),
				List.of(new RowTransaction.Write(Tables.LEDGER, Tables.FORMER_LEADER_KEY, predecessor.write())),
				List.of(), this::scheduleDecision,
				(failure) -> this.writer.writeLeaderRow(this.record.name(), this::scheduleDecision));
	}

	private void readModel(StoredRow row) {
		if (!row.key().equals(Tables.IMAGES_KEY)) {
			return;
		}
		try {
			this.imagePressure.restore(row.value());
			this.recordedImages = row.value();
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Adds what the leader has learned to a transaction that is written anyway.
	 * @param writes the rows of the transaction
	 */
	private void addModel(List<RowTransaction.Write> writes) {
		long now = this.clock.nanoTime();
		if (now - this.imagesRecordedNanos < LeadershipTimings.MODEL_INTERVAL.toNanos()) {
			return;
		}
		this.imagesRecordedNanos = now;
		String images = this.imagePressure.write();
		if (!images.equals(this.recordedImages)) {
			this.recordedImages = images;
			writes.add(new RowTransaction.Write(Tables.MODEL, Tables.IMAGES_KEY, images));
		}
	}

	@Override
	public void tableRead(List<StoredRow> rows) {
		IsolatedRows.apply(rows, (row) -> {
			applySubmission(row);
			// Applying hundreds of rows may take longer than is left for the renewal.
			if (!this.restored && !this.writer.busy()) {
				renewIfDue();
			}
		});
		if (!this.restored) {
			this.restored = true;
			this.metrics.setStateRestored(true);
			EventLog.info(LeadEvent.STATE_RESTORED, Field.of("epoch", this.record.epoch()),
					Field.of("rows", rows.size()), Field.of("progress", this.restoredRows.jobCount()),
					Field.of("jobsWithoutRow", this.restoredRows.countJobsWithoutRow()),
					Field.of("hosts", this.links.size()), Field.of("inheritedRuns", this.inheritedRunsLog.runs()),
					Field.of("hostsWithInheritedRuns", this.inheritedRunsLog.hosts()),
					Field.of("failures", this.restorationLog.failures()), Field.of("sinceTakeoverMillis",
							TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - this.takeoverNanos)));
			this.inheritedRunsLog.schedule(this.record.epoch(), this.timer);
			this.restoredRows.release();
		}
		scheduleDecision();
	}

	@Override
	public void pageRead(int rows) {
		this.restorationLog.pageRead(rows);
	}

	@Override
	public void readFailed(String reason) {
		this.restorationLog.readFailed(reason);
	}

	@Override
	public void rowsChanged(List<StoredRow> rows) {
		IsolatedRows.apply(rows, this::applySubmission);
		scheduleDecision();
	}

	private void applyRow(StoredRow row) {
		if (!row.exists()) {
			return;
		}
		if (row.key().startsWith(Tables.JOB_PREFIX)) {
			applyJob(row);
		}
		else if (row.key().startsWith(Tables.CANCELLATION_PREFIX)) {
			this.dispatcher.cancelled(row.key().substring(Tables.CANCELLATION_PREFIX.length()))
				.forEach(this::sendStops);
		}
		else if (row.key().startsWith(Tables.HOST_PREFIX)) {
			applyHost(row.key().substring(Tables.HOST_PREFIX.length()), row.value());
		}
		else if (row.key().equals(Tables.ENDED_LEADER_KEY)) {
			applyEndOfLeader(row);
		}
		else if (row.key().startsWith(Tables.DEPARTURE_PREFIX)) {
			Departure.read(row.value())
				.ifPresentOrElse(
						(departure) -> this.reportProcessor
							.departed(row.key().substring(Tables.DEPARTURE_PREFIX.length()), departure),
						() -> EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()),
								Field.of("version", row.version()), Field.of("reason", "the departure is malformed")));
		}
	}

	private void applyEndOfLeader(StoredRow row) {
		try {
			EndedLeader ended = EndedLeader.read(row.value());
			if (ended.epoch() != this.record.epoch() - 1) {
				return;
			}
			long ageNanos = (long) (TimeUnit.MILLISECONDS.toNanos(ended.ageMillis())
					/ StoreClockReading.CLOCK_DRIFT_FACTOR);
			this.formerExtensions = this.formerExtensions.endedBy(this.clock.nanoTime() - ageNanos);
			this.reportProcessor.formerLeaders(this.record.epoch(), this.formerExtensions.endNanos());
			EventLog.info(LeadEvent.FORMER_LEADER_ENDED, Field.of("epoch", this.record.epoch()),
					Field.of("ageMillis", ended.ageMillis()), Field.of("formerExtensionsEndInMillis",
							Duration.ofNanos(this.formerExtensions.endNanos() - this.clock.nanoTime()).toMillis()));
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	private void applySubmission(StoredRow row) {
		if (row.exists() && row.key().startsWith(Tables.JOB_PREFIX)) {
			String id = row.key().substring(Tables.JOB_PREFIX.length());
			// Marks of rejected jobs are removed by RejectedJobs.
			if (!RejectionMark.isMark(row) && !this.removedJobs.removedAfter(id, row.version())) {
				this.submissionCleanup.seen(id, row.version());
			}
		}
		applyRow(row);
	}

	private void applyJob(StoredRow row) {
		String id = row.key().substring(Tables.JOB_PREFIX.length());
		if (this.removedJobs.removedAfter(id, row.version())) {
			EventLog.info(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", "the job was removed after the row was written"));
			return;
		}
		if (RejectionMark.isMark(row)) {
			// The job is not known to the dispatcher, since its caller may submit it
			// again.
			this.rejectedJobs.rejected(row);
			return;
		}
		this.rejectedJobs.replaced(row.key());
		if (this.restoredRows.isUnreadable(id)) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", "rows of the job can't be read"));
			return;
		}
		try {
			if (row.value().equals(Tables.ENDED_JOB) || row.value().equals(Tables.WITHDRAWN_JOB)) {
				this.dispatcher.endedEarlier(id,
						this.restoredRows.job(id)
							.map((text) -> JobSummary.read(text).endedMillis())
							.orElse(this.clock.millis()));
				return;
			}
			boolean unrecorded = this.dispatcher.submitted(SubmissionCodec.read(id, row.value()),
					this.restoredRows.progress(id));
			if (unrecorded) {
				this.recordedSubmissions.added(id, row.version());
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			if (this.restoredRows.progress(id).isPresent()) {
				this.restoredRows.markUnreadable(id);
			}
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Opens the link to a host. A malformed address does not replace the one in use.
	 * @param host the name of the host
	 * @param text the address of its agent
	 */
	private void applyHost(String host, String text) {
		if (text.equals(this.addresses.get(host))) {
			return;
		}
		InetSocketAddress address;
		try {
			address = Sockets.parseAddress(text);
			if (address.getPort() == 0) {
				throw new IllegalArgumentException("nobody listens at port 0");
			}
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", Tables.HOST_PREFIX + host),
					Field.of("reason", String.valueOf(ex.getMessage())));
			return;
		}
		this.addresses.put(host, text);
		HostConnection previous = this.links.remove(host);
		if (previous != null) {
			previous.close();
		}
		HostConnection link = this.connector.connect(host, address,
				LeaderHello.newBuilder()
					.setEpoch(this.record.epoch())
					.setLeader(this.record.name())
					.setReadsChanges(true)
					.build(),
				this);
		this.links.put(host, link);
		link.open();
	}

	/**
	 * Returns the addresses of the hosts to which this leader keeps a link.
	 * @return the addresses by name
	 */
	Map<String, String> linkedHosts() {
		return Map.copyOf(this.addresses);
	}

	@Override
	public void connectionChanged(String host, boolean open) {
		// A report of the former connection says nothing about the present one.
		this.waitingReports.remove(host);
		this.reportProcessor.connected(host, open);
		EventLog.info(LeadEvent.HOST_CHANGED, Field.of("host", host),
				Field.of("belief", open ? "connected" : "disconnected"));
		if (open) {
			send(host, LeaderMessage.newBuilder());
		}
	}

	@Override
	public void connectionFailed(String host, String reason) {
		EventLog.warn(LeadEvent.CONNECTION_FAILED, Field.of("host", host), Field.of("reason", reason));
	}

	/**
	 * Ends the link of a host whose address another host has taken over. A host writes
	 * its address to the store when it starts, so the link is opened again if it returns.
	 * If both links stayed open, each would push out the other at the agent.
	 */
	@Override
	public void addressReused(String host, String answering) {
		EventLog.warn(LeadEvent.HOST_CHANGED, Field.of("host", host), Field.of("belief", "gone"),
				Field.of("detail", "host " + answering + " answers at " + this.addresses.get(host)));
		this.waitingReports.remove(host);
		this.addresses.remove(host);
		HostConnection link = this.links.remove(host);
		if (link != null) {
			link.close();
		}
		this.reportProcessor.connected(host, false);
	}

	@Override
	public void reportReceived(HostReport report) {
		if (this.restored) {
			this.waitingReports.add(report);
			scheduleReports();
		}
	}

	private void scheduleReports() {
		if (!this.reportsScheduled && !this.closed) {
			this.reportsScheduled = true;
			this.timer.schedule(Duration.ZERO, this::processReports);
		}
	}

	/**
	 * Processes waiting reports for a short time, so that the answers of the store, which
	 * confirm the leadership, are read between them. After a takeover the reports of all
	 * hosts arrive at once, each with many runs that are lost.
	 */
	private void processReports() {
		this.reportsScheduled = false;
		long start = this.clock.nanoTime();
		Optional<HostReport> next = this.waitingReports.poll();
		while (next.isPresent() && !this.closed) {
			processReport(next.get());
			if (this.clock.nanoTime() - start > LeadershipTimings.MAXIMUM_REPORT_TURN.toNanos()) {
				scheduleReports();
				return;
			}
			next = this.waitingReports.poll();
		}
	}

	private void processReport(HostReport report) {
		this.admissionPublisher.reportReceived(report.getHost());
		ReportProcessor.Response reaction = this.reportProcessor.reported(report, mayExtendLeases());
		send(report.getHost(),
				LeaderMessage.newBuilder()
					.setAnsweredReport(report.getSequence())
					.setLeaseStamp(reaction.leaseStamp())
					.setRecordedEnds(reaction.recordedEnds())
					.addAllStops(reaction.stops())
					.addAllTraits(reaction.traits()));
		scheduleDecision();
	}

	private boolean mayExtendLeases() {
		return !this.resignationSent && this.writer.mayExtendLeases();
	}

	private void sendStops(String host) {
		LeaderMessage.Builder message = LeaderMessage.newBuilder();
		this.reportProcessor.runsOfEndedJobs(host).forEach(message::addStops);
		send(host, message);
	}

	private void send(String host, LeaderMessage.Builder message) {
		HostConnection link = this.links.get(host);
		if (link != null) {
			link.send(message.setOrder(this.reportProcessor.newestOrder(host))
				.setWorkerBorn(this.reportProcessor.workerBorn(host))
				.build());
		}
	}

	private void tick() {
		if (this.closed) {
			return;
		}
		if (!wasBusy()) {
			this.links.values().forEach(HostConnection::closeIfUnresponsive);
		}
		this.trafficLog.writeIfDue();
		if (this.restored) {
			this.reportProcessor.expireLeases(this.settings.leaseTimeout(), this.formerExtensions.endNanos());
			this.queueLoadLog.writeIfDue();
			this.recordBacklogLog.writeIfDue();
			if (this.settings.admissionControl()) {
				this.admissionPublisher.measureIfDue(this.links.size());
			}
			this.rejectedJobs.removeIfDue();
			decide();
			this.restorationLog.writeIfDelayed(this.submissionWatch.age());
			StartConditions conditions = startConditions();
			this.dispatchSuspensionLog.writeIfDue(this.dispatcher.load().sinceLastPass(), conditions,
					this.writer.confirmed(), this.writer.busy(), this.resigning);
			this.unavailableTaskLog.writeIfDue(conditions);
			this.unavailableJobLog.writeIfDue(conditions);
		}
		else {
			this.restorationLog.writeIfDue();
			if (!this.writer.busy()) {
				renewIfDue();
			}
		}
	}

	/**
	 * Returns whether this process has not read anything for some time. The reports that
	 * a connection seems to lack may have arrived meanwhile.
	 * @return true if the last tick was long ago
	 */
	private boolean wasBusy() {
		long now = this.clock.nanoTime();
		long sinceLastTick = now - this.lastTickNanos;
		this.lastTickNanos = now;
		return sinceLastTick > LeadershipTimings.LATE_TICK.toNanos();
	}

	private StartConditions startConditions() {
		return new StartConditions(this.takeoverNanos, mayAssign(), this.writer.confirmationAge(), this.operator.age());
	}

	private boolean mayAssign() {
		return this.operator.age().compareTo(LeadershipTimings.MAXIMUM_OPERATOR_VIEW_AGE) < 0
				&& this.writer.confirmed();
	}

	/**
	 * Schedules a decision, which also covers whatever else arrives until then.
	 */
	private void scheduleDecision() {
		if (this.restored && !this.decisionScheduled && !this.closed) {
			this.decisionScheduled = true;
			this.timer.schedule(LeadershipTimings.BATCHING_DELAY, () -> {
				this.decisionScheduled = false;
				decide();
			});
		}
	}

	private void decide() {
		if (this.closed || this.resigning || this.writer.busy()) {
			return;
		}
		this.operator.configuration().ifPresent(this.dispatcher::configure);
		this.dispatcher.setEvacuatedDomains(this.operator.evacuatedDomains());
		send(this.dispatcher.releaseStarts(mayStart()));
		// A pass may take longer than is left for the renewal of the leader's row. With
		// slow
		// answers of the store the renewal is always due.
		this.renewsFirst = isRenewalDue() && !this.renewsFirst;
		if (mayAssign() && !this.renewsFirst && this.passPacer.due()) {
			this.passPacer.run(this.dispatcher::schedule);
		}
		if (this.rejected && this.writer.confirmationAge().compareTo(LeadershipTimings.RENEWAL_INTERVAL) > 0) {
			// Rejected transactions do not renew the leader's row, however many follow.
			this.rejected = false;
			renewIfDue();
			return;
		}
		DispatchBatch batch = this.rejectedParts.isEmpty() ? takeBatch() : this.rejectedParts.remove();
		if (batch.isEmpty()) {
			renewIfDue();
		}
		else {
			record(batch);
		}
	}

	/**
	 * Takes the next decisions to record. The state of an ended job is not removed before
	 * its submission is reduced, which another transaction does: the next leader would
	 * take a whole submission without a state for a new job.
	 * @return the batch
	 */
	private DispatchBatch takeBatch() {
		return this.dispatcher
			.takeBatch(LeadershipTimings.MAXIMUM_ROWS_PER_TRANSACTION,
					LeadershipTimings.MAXIMUM_ROW_CHARACTERS_PER_TRANSACTION)
			.keepingStates(this.submissionCleanup::isUnreduced);
	}

	private boolean isRenewalDue() {
		// A transaction that was retried through an outage rests on an answer from
		// before.
		return this.writer.confirmationAge().compareTo(LeadershipTimings.RENEWAL_INTERVAL) > 0
				|| this.writer.extensionBasisAge()
					.filter((age) -> age.compareTo(LeadershipTimings.MAXIMUM_EXTENSION_BASIS_AGE) < 0)
					.isEmpty();
	}

	private void renewIfDue() {
		if (isRenewalDue()) {
			List<RowTransaction.Write> writes = new ArrayList<>();
			addAdmission(writes);
			addRecordedSubmissions(writes);
			if (writes.isEmpty()) {
				this.writer.writeLeaderRow(this.record.name(), this::scheduleDecision);
			}
			else {
				// After a rejection the leader's row is renewed without the figures.
				this.writer.write(this.record.name(), writes, List.of(), this::scheduleDecision, (failure) -> {
					this.recordedSubmissions.rejected();
					this.timer.schedule(LeadershipTimings.RETRY_DELAY, this::scheduleDecision);
				});
			}
		}
	}

	private void addAdmission(List<RowTransaction.Write> writes) {
		this.admissionPublisher.takeIfDue()
			.ifPresent((figures) -> writes.add(new RowTransaction.Write(Tables.LEDGER, Tables.ADMISSION_KEY, figures)));
	}

	private void addRecordedSubmissions(List<RowTransaction.Write> writes) {
		if (this.restored) {
			this.recordedSubmissions.takeIfDue()
				.ifPresent((version) -> writes
					.add(new RowTransaction.Write(Tables.LEDGER, Tables.RECORDED_SUBMISSIONS_KEY, version)));
		}
	}

	private void record(DispatchBatch batch) {
		List<RowTransaction.Write> writes = new ArrayList<>();
		batch.jobs()
			.forEach((id, state) -> writes
				.add(new RowTransaction.Write(Tables.LEDGER, Tables.PROGRESS_PREFIX + id, state)));
		batch.tasks()
			.forEach((task, progress) -> writes.add(new RowTransaction.Write(Tables.TASKS, task.toString(), progress)));
		List<RowTransaction.Removal> removals = new ArrayList<>();
		DispatchBatch.Cleanup cleanup = batch.cleanup();
		cleanup.tasks().forEach((task) -> removals.add(new RowTransaction.Removal(Tables.TASKS, task.toString())));
		Predicate<String> storedEarlier = Predicate.not(this.submissionCleanup::knows);
		cleanup.reduced()
			.stream()
			.filter(storedEarlier)
			.forEach((id) -> writes
				.add(new RowTransaction.Write(Tables.INTAKE, Tables.JOB_PREFIX + id, Tables.ENDED_JOB)));
		for (String id : cleanup.expired()) {
			removals.add(new RowTransaction.Removal(Tables.LEDGER, Tables.PROGRESS_PREFIX + id));
			if (storedEarlier.test(id)) {
				removals.add(new RowTransaction.Removal(Tables.INTAKE, Tables.JOB_PREFIX + id));
				removals.add(new RowTransaction.Removal(Tables.INTAKE, Tables.CANCELLATION_PREFIX + id));
			}
		}
		addModel(writes);
		addAdmission(writes);
		addRecordedSubmissions(writes);
		this.writer.write(this.record.name(), writes, removals, () -> {
			this.removedJobs.add(cleanup.expired().stream().filter(storedEarlier).toList(), this.writer.version());
			this.submissionCleanup.reduce(cleanup.reduced());
			this.submissionCleanup.remove(cleanup.expired());
			handleChangesRecorded(batch);
		}, (failure) -> handleRejection(batch, failure));
	}

	/**
	 * Divides a batch that the store has rejected. A single row is recorded without the
	 * checkpoint of its task, which is the only content of a row whose size a worker
	 * determines. If even that is rejected, the row waits behind all other changes. If it
	 * is the row of a job, so do the rows of its tasks. No ends are acknowledged before
	 * it is recorded.
	 * @param batch the batch
	 * @param failure why the store rejected it
	 */
	private void handleRejection(DispatchBatch batch, Failure failure) {
		EventLog.warn(LeadEvent.RECORD_REJECTED, Field.of("epoch", this.record.epoch()), Field.of("rows", batch.rows()),
				Field.of("characters", batch.characters()), Field.of("reason", failure.message()));
		this.recordedImages = "";
		this.recordedSubmissions.rejected();
		List<DispatchBatch> parts = (batch.rows() > 1) ? batch.divide() : this.dispatcher.reduce(batch);
		for (int part = parts.size() - 1; part >= 0; part--) {
			this.rejectedParts.addFirst(parts.get(part));
		}
		if (parts.isEmpty()) {
			this.dispatcher.postpone(batch);
			List<DispatchBatch> remaining = List.copyOf(this.rejectedParts);
			this.rejectedParts.clear();
			for (DispatchBatch part : remaining) {
				this.dispatcher.postpone(part.requiring(batch.jobs().keySet()));
				this.rejectedParts.add(part.notRequiring(batch.jobs().keySet()));
			}
		}
		this.rejected = true;
	}

	private void handleChangesRecorded(DispatchBatch batch) {
		this.recordedSubmissions.recorded(batch.jobs().keySet());
		// The state of a job that is not kept any more is not recorded.
		this.recordedSubmissions.recorded(batch.cleanup().reduced());
		this.dispatcher.setEvacuatedDomains(this.operator.evacuatedDomains());
		Map<String, List<StartOrder>> orders = new LinkedHashMap<>(this.dispatcher.recorded(batch, mayStart()));
		batch.ends().keySet().forEach((host) -> orders.putIfAbsent(host, List.of()));
		send(orders);
		if (this.dispatcher.hasChanges() || !this.rejectedParts.isEmpty()) {
			scheduleDecision();
		}
	}

	private boolean mayStart() {
		return this.operator.age().compareTo(LeadershipTimings.MAXIMUM_OPERATOR_VIEW_AGE) < 0
				&& this.writer.confirmationAge().compareTo(LeadershipTimings.MAXIMUM_START_DELAY) < 0;
	}

	private void send(Map<String, List<StartOrder>> orders) {
		orders.forEach((host, starts) -> send(host,
				LeaderMessage.newBuilder()
					.addAllStarts(starts)
					.setRecordedEnds(this.reportProcessor.recordedEnds(host))));
	}

	/**
	 * Resigns, so that another process takes over immediately.
	 * @param onResigned runs when the store has confirmed the resignation
	 */
	void resign(Runnable onResigned) {
		this.resigning = true;
		if (this.writer.busy()) {
			this.timer.schedule(LeadershipTimings.BATCHING_DELAY, () -> resign(onResigned));
			return;
		}
		EventLog.info(LeadEvent.LEADERSHIP_RESIGNED, Field.of("epoch", this.record.epoch()));
		// The next leader counts on it that a leader that has resigned extends no lease.
		this.resignationSent = true;
		this.writer.writeLeaderRow("", () -> {
			close();
			onResigned.run();
		});
	}

	void close() {
		this.closed = true;
		this.unavailableTaskLog.close();
		this.unavailableJobLog.close();
		this.metrics.setStateRestored(false);
		this.inheritedRunsLog.close();
		this.tickTimer.cancel();
		this.writer.close();
		this.intakeWatch.close();
		this.submissionWatch.close();
		this.submissionCleanup.close();
		this.links.values().forEach(HostConnection::close);
	}

	/**
	 * Read of a table that only leaders write.
	 */
	private final class TableRead implements TableReader.Listener {

		private final String table;

		private final Consumer<StoredRow> consumer;

		private final Runnable next;

		private final TableReader reader;

		private TableRead(String table, Consumer<StoredRow> consumer, Runnable next) {
			this.table = table;
			this.consumer = consumer;
			this.next = next;
			this.reader = new TableReader(Leader.this.store, table, Leader.this.clock, this);
		}

		private void read() {
			if (!Leader.this.closed) {
				this.reader.read();
			}
		}

		@Override
		public void pageRead(List<StoredRow> rows) {
			if (Leader.this.closed) {
				this.reader.close();
				return;
			}
			Leader.this.restorationLog.pageRead(rows.size());
			IsolatedRows.apply(rows, this.consumer);
		}

		@Override
		public void failed(Failure failure) {
			if (Leader.this.closed) {
				return;
			}
			EventLog.warn(LeadEvent.READ_DELAYED, Field.of("table", this.table), Field.of("reason", failure.message()));
			Leader.this.restorationLog.readFailed(failure.message());
			Leader.this.timer.schedule(LeadershipTimings.RETRY_DELAY, this::read);
		}

		@Override
		public void completed(long storeVersion) {
			if (!Leader.this.closed) {
				this.next.run();
			}
		}

	}

	/**
	 * Receives the hosts and departures, and what earlier versions of the programs
	 * accepted. The submissions are read after it, since they complete the state.
	 */
	private final class IntakeListener implements RowWatchListener {

		@Override
		public void tableRead(List<StoredRow> rows) {
			IsolatedRows.apply(rows, Leader.this::applyRow);
			if (!Leader.this.hostsRead) {
				Leader.this.hostsRead = true;
				watch(Tables.SUBMISSIONS, Leader.this.submissionWatch);
			}
			scheduleDecision();
		}

		@Override
		public void pageRead(int rows) {
			Leader.this.restorationLog.pageRead(rows);
		}

		@Override
		public void readFailed(String reason) {
			Leader.this.restorationLog.readFailed(reason);
		}

		@Override
		public void rowsChanged(List<StoredRow> rows) {
			IsolatedRows.apply(rows, Leader.this::applyRow);
			scheduleDecision();
		}

	}

}
