package org.crocuspost.ingress;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSummary;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;

/**
 * States of all jobs, as the leader has recorded them.
 */
public final class JobDirectory implements RowWatchListener {

	private final Map<String, JobSummary> jobs = new HashMap<>();

	private final Map<String, String> acceptedHere = new HashMap<>();

	private final Consumer<StoredRow> leaderRow;

	/**
	 * Creates an empty directory.
	 * @param leaderRow learns of the row that names the leader
	 */
	public JobDirectory(Consumer<StoredRow> leaderRow) {
		this.leaderRow = leaderRow;
	}

	@Override
	public void tableRead(List<StoredRow> rows) {
		this.jobs.clear();
		rows.forEach(this::learn);
	}

	@Override
	public void rowsChanged(List<StoredRow> rows) {
		rows.forEach(this::learn);
	}

	private void learn(StoredRow row) {
		if (row.key().equals(Tables.LEADER_KEY)) {
			this.leaderRow.accept(row);
			return;
		}
		if (!row.key().startsWith(Tables.PROGRESS_PREFIX)) {
			return;
		}
		String id = row.key().substring(Tables.PROGRESS_PREFIX.length());
		this.acceptedHere.remove(id);
		if (!row.exists()) {
			this.jobs.remove(id);
			return;
		}
		try {
			this.jobs.put(id, JobSummary.read(row.value()));
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(IngressEvent.PROGRESS_IGNORED, Field.of("job", id), Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Notes a job that was accepted here, until the leader has recorded it.
	 * @param id the identity of the job
	 * @param queue the queue
	 */
	public void accepted(String id, String queue) {
		if (!this.jobs.containsKey(id)) {
			this.acceptedHere.put(id, queue);
		}
	}

	/**
	 * Returns the state of a job.
	 * @param id the identity of the job
	 * @return the state, or empty if the job is not known here
	 */
	public Optional<JobState> state(String id) {
		JobSummary summary = this.jobs.get(id);
		if (summary != null) {
			return Optional.of(summary.state());
		}
		return this.acceptedHere.containsKey(id) ? Optional.of(JobState.QUEUED) : Optional.empty();
	}

	/**
	 * Returns the number of jobs of a queue of which no task has started.
	 * @param queue the queue
	 * @return the number
	 */
	public int pending(String queue) {
		int count = 0;
		for (JobSummary summary : this.jobs.values()) {
			if (summary.state() == JobState.QUEUED && summary.queue().equals(queue)) {
				count++;
			}
		}
		for (String accepted : this.acceptedHere.values()) {
			if (accepted.equals(queue)) {
				count++;
			}
		}
		return count;
	}

}
