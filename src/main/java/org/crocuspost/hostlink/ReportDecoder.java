package org.crocuspost.hostlink;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunUpdate;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.WorkerDescription;

/**
 * Restores the whole reports from the changes that {@link ReportEncoder} sends on one
 * connection.
 *
 * <p>
 * Ends are kept until the leader has recorded them, so that a whole report lists them
 * again if the leader could not process an earlier one.
 */
final class ReportDecoder {

	private final Map<Integer, RunningTask> running = new LinkedHashMap<>();

	private final Map<Integer, RunningTask> pending = new LinkedHashMap<>();

	private final TreeMap<Long, EndedTask> ended = new TreeMap<>();

	private WorkerDescription worker = WorkerDescription.getDefaultInstance();

	private long sequence;

	/**
	 * Decodes the next report of the connection.
	 * @param received the report as received
	 * @return the whole report, or empty if it does not follow the previous one, so that
	 * the connection has to be opened anew
	 */
	Optional<HostReport> decode(HostReport received) {
		if (received.getSequence() == 0) {
			return Optional.of(received);
		}
		if (received.getChangesOnly()) {
			if (received.getSequence() != this.sequence + 1 || !update(received)) {
				return Optional.empty();
			}
		}
		else {
			this.running.clear();
			this.pending.clear();
			this.ended.clear();
			this.worker = received.getWorker();
		}
		this.sequence = received.getSequence();
		received.getRunningList().forEach((run) -> this.running.put(run.getEntry(), run));
		received.getPendingList().forEach((run) -> this.pending.put(run.getEntry(), run));
		received.getEndedList().forEach((end) -> this.ended.put(end.getNumber(), end));
		return Optional.of(whole(received));
	}

	private boolean update(HostReport received) {
		for (RunUpdate update : received.getUpdatedList()) {
			Map<Integer, RunningTask> list = this.running.containsKey(update.getEntry()) ? this.running : this.pending;
			RunningTask former = list.get(update.getEntry());
			if (former == null) {
				return false;
			}
			RunningTask.Builder run = former.toBuilder()
				.setProgress(update.getProgress())
				.setLoad(update.getLoad())
				.setPace(update.getPace());
			if (!update.getCheckpoint().isEmpty()) {
				run.setCheckpoint(update.getCheckpoint());
			}
			list.put(update.getEntry(), run.build());
		}
		for (int entry : received.getRemovedList()) {
			if (this.running.remove(entry) == null && this.pending.remove(entry) == null) {
				return false;
			}
		}
		if (received.hasWorker()) {
			this.worker = received.getWorker();
		}
		return true;
	}

	private HostReport whole(HostReport received) {
		return received.toBuilder()
			.setChangesOnly(false)
			.clearUpdated()
			.clearRemoved()
			.setWorker(this.worker)
			.clearRunning()
			.addAllRunning(this.running.values())
			.clearPending()
			.addAllPending(this.pending.values())
			.clearEnded()
			.addAllEnded(this.ended.values())
			.build();
	}

	/**
	 * Forgets the ends that the leader has recorded.
	 * @param workerBorn the start of the incarnation of the worker that the number
	 * belongs to, Unix time in milliseconds
	 * @param number the number up to which ends are recorded
	 */
	void endsRecorded(long workerBorn, long number) {
		if (workerBorn == this.worker.getBorn()) {
			this.ended.headMap(number, true).clear();
		}
	}

}
