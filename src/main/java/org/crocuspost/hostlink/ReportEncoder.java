package org.crocuspost.hostlink;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunUpdate;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskName;
import org.crocuspost.wire.WorkerDescription;

/**
 * Reduces the reports of one connection to what has changed since the previous report.
 * {@link ReportDecoder} restores the whole reports at the other end.
 *
 * <p>
 * A worker that runs 30 tasks is polled up to 30 times a second, and only the load and
 * the progress of a few runs differ between two polls. Whole reports of 15 such workers
 * exceed a link of 2 Mbit/s.
 */
final class ReportEncoder {

	private final Map<ListedRun, RunningTask> listed = new HashMap<>();

	private WorkerDescription worker = WorkerDescription.getDefaultInstance();

	private long sequence;

	private int newestEntry;

	private long newestEnd;

	/**
	 * Encodes the next report.
	 * @param report the whole report
	 * @return the report to send; whole if it is the first one or if it describes another
	 * incarnation of the worker than the previous one
	 */
	HostReport encode(HostReport report) {
		this.sequence++;
		boolean sameIncarnation = this.worker.getId().equals(report.getWorker().getId())
				&& this.worker.getBorn() == report.getWorker().getBorn();
		return (this.sequence == 1 || !sameIncarnation) ? encodeWhole(report) : encodeChanges(report);
	}

	private HostReport encodeWhole(HostReport report) {
		this.listed.clear();
		this.worker = report.getWorker();
		this.newestEnd = report.getEndedList().stream().mapToLong(EndedTask::getNumber).max().orElse(0);
		HostReport.Builder encoded = report.toBuilder().clearRunning().clearPending().setSequence(this.sequence);
		report.getRunningList().forEach((run) -> encoded.addRunning(register(run, false)));
		report.getPendingList().forEach((run) -> encoded.addPending(register(run, true)));
		return encoded.build();
	}

	private HostReport encodeChanges(HostReport report) {
		HostReport.Builder encoded = report.toBuilder()
			.clearRunning()
			.clearPending()
			.clearEnded()
			.setSequence(this.sequence)
			.setChangesOnly(true);
		if (report.getWorker().equals(this.worker)) {
			encoded.clearWorker();
		}
		this.worker = report.getWorker();
		Set<ListedRun> present = new HashSet<>();
		encodeRuns(report.getRunningList(), false, present, encoded);
		encodeRuns(report.getPendingList(), true, present, encoded);
		this.listed.entrySet().removeIf((entry) -> {
			boolean gone = !present.contains(entry.getKey());
			if (gone) {
				encoded.addRemoved(entry.getValue().getEntry());
			}
			return gone;
		});
		long formerEnd = this.newestEnd;
		for (EndedTask end : report.getEndedList()) {
			if (end.getNumber() > formerEnd) {
				encoded.addEnded(end);
				this.newestEnd = Math.max(this.newestEnd, end.getNumber());
			}
		}
		return encoded.build();
	}

	private void encodeRuns(List<RunningTask> runs, boolean pending, Set<ListedRun> present,
			HostReport.Builder encoded) {
		for (RunningTask run : runs) {
			ListedRun key = ListedRun.of(run, pending);
			present.add(key);
			RunningTask former = this.listed.get(key);
			if (former == null) {
				RunningTask registered = register(run, pending);
				if (pending) {
					encoded.addPending(registered);
				}
				else {
					encoded.addRunning(registered);
				}
				continue;
			}
			RunningTask current = run.toBuilder().setEntry(former.getEntry()).build();
			if (!current.equals(former)) {
				this.listed.put(key, current);
				encoded.addUpdated(RunUpdate.newBuilder()
					.setEntry(current.getEntry())
					.setProgress(current.getProgress())
					.setLoad(current.getLoad())
					.setPace(current.getPace())
					.setCheckpoint(
							current.getCheckpoint().equals(former.getCheckpoint()) ? "" : current.getCheckpoint()));
			}
		}
	}

	private RunningTask register(RunningTask run, boolean pending) {
		RunningTask registered = run.toBuilder().setEntry(++this.newestEntry).build();
		this.listed.put(ListedRun.of(run, pending), registered);
		return registered;
	}

	/**
	 * Identifies an entry of a report.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param pending whether the entry is in the list of pending runs
	 */
	private record ListedRun(TaskName task, int run, boolean pending) {

		private static ListedRun of(RunningTask run, boolean pending) {
			return new ListedRun(run.getTask(), run.getRun(), pending);
		}

	}

}
