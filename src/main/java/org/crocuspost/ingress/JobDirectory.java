package org.crocuspost.ingress;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;

import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSummary;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.IsolatedRows;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;

/**
 * Holds the states of all jobs as recorded by the leader, and the jobs that this process
 * has accepted but the leader has not recorded yet.
 */
public final class JobDirectory implements RowWatchListener {

	private static final long UNKNOWN_VERSION = -1;

	private final Map<String, JobSummary> jobs = new HashMap<>();

	private final Map<String, String> acceptedJobs = new HashMap<>();

	private final Consumer<StoredRow> leaderRowListener;

	private final AdmissionControl admission;

	private final LongFunction<LedgerView> view;

	private long recordedSubmissions = UNKNOWN_VERSION;

	/**
	 * Creates an empty directory.
	 * @param leaderRowListener receives the row that names the leader, at every read of
	 * the table and at every change of the row
	 * @param admission receives the work ahead of new jobs
	 * @param view returns the state of the rows that this directory has received, given
	 * the version of the store up to which all submissions are in them
	 */
	public JobDirectory(Consumer<StoredRow> leaderRowListener, AdmissionControl admission,
			LongFunction<LedgerView> view) {
		this.leaderRowListener = leaderRowListener;
		this.admission = admission;
		this.view = view;
	}

	@Override
	public void tableRead(List<StoredRow> rows) {
		this.jobs.clear();
		this.recordedSubmissions = UNKNOWN_VERSION;
		this.admission.clear();
		IsolatedRows.apply(rows, this::applyRow);
	}

	@Override
	public void rowsChanged(List<StoredRow> rows) {
		IsolatedRows.apply(rows, this::applyRow);
	}

	private void applyRow(StoredRow row) {
		if (row.key().equals(Tables.ADMISSION_KEY)) {
			this.admission.figuresChanged(row);
			return;
		}
		if (row.key().equals(Tables.LEADER_KEY)) {
			this.admission.leaderRowChanged(row);
			this.leaderRowListener.accept(row);
			return;
		}
		if (row.key().equals(Tables.FORMER_LEADER_KEY)) {
			this.leaderRowListener.accept(row);
			return;
		}
		if (row.key().equals(Tables.RECORDED_SUBMISSIONS_KEY)) {
			recordedSubmissionsChanged(row);
			return;
		}
		if (!row.key().startsWith(Tables.PROGRESS_PREFIX)) {
			return;
		}
		String id = row.key().substring(Tables.PROGRESS_PREFIX.length());
		if (!row.exists()) {
			this.acceptedJobs.remove(id);
			this.jobs.remove(id);
			return;
		}
		try {
			this.jobs.put(id, JobSummary.read(row.value()));
			this.acceptedJobs.remove(id);
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(IngressEvent.PROGRESS_IGNORED, Field.of("job", id), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	private void recordedSubmissionsChanged(StoredRow row) {
		this.recordedSubmissions = UNKNOWN_VERSION;
		if (!row.exists()) {
			return;
		}
		try {
			this.recordedSubmissions = Long.parseLong(row.value());
		}
		catch (NumberFormatException ex) {
			EventLog.warn(IngressEvent.PROGRESS_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	AdmissionControl admission() {
		return this.admission;
	}

	/**
	 * Adds a job that this process has accepted. It is kept until the leader records it.
	 * @param id the ID of the job
	 * @param queue the name of its queue
	 */
	public void addAccepted(String id, String queue) {
		if (!this.jobs.containsKey(id)) {
			this.acceptedJobs.put(id, queue);
		}
	}

	/**
	 * Returns the state of a job.
	 * @param id the ID of the job
	 * @return the state, or empty if this process has neither accepted the job nor read
	 * its progress
	 */
	public Optional<JobState> state(String id) {
		JobSummary summary = this.jobs.get(id);
		if (summary != null) {
			return Optional.of(summary.state());
		}
		return this.acceptedJobs.containsKey(id) ? Optional.of(JobState.QUEUED) : Optional.empty();
	}

	/**
	 * Returns the number of jobs of a queue of which no task has started.
	 * @param queue the name of the queue
	 * @return the number of jobs, with the state of the rows it was counted from
	 */
	public PendingCount pending(String queue) {
		int recorded = 0;
		for (JobSummary summary : this.jobs.values()) {
			if (summary.state() == JobState.QUEUED && summary.queue().equals(queue)) {
				recorded++;
			}
		}
		int accepted = 0;
		for (String acceptedQueue : this.acceptedJobs.values()) {
			if (acceptedQueue.equals(queue)) {
				accepted++;
			}
		}
		return new PendingCount(recorded, accepted, this.view.apply(this.recordedSubmissions));
	}

}
