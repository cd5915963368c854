package org.crocuspost.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.crocuspost.admission.AdmissionSettings.AdmissionLimits;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.FateReply;
import org.crocuspost.wire.FateReply.Fate;
import org.crocuspost.wire.ForwardReply;
import org.jspecify.annotations.Nullable;

/**
 * Records the status of each attempt that this agent has received or has been queried
 * about.
 * <p>
 * If an attempt is queried before it was received, a tombstone is recorded for it: if its
 * frame arrives later it is refused. The reply "never runs" therefore remains valid, and
 * the entry may send the request to another agent. Tombstones are retained longer than
 * the longest deadline of a request.
 */
final class AttemptRecords {

	private static final int MAXIMUM_RECORDS = 100_000;

	private final AdmissionLimits limits;

	private final Clock clock;

	private final Map<AttemptId, AttemptRecord> records = new HashMap<>();

	private final Deque<EndedAttempt> endedAttempts = new ArrayDeque<>();

	private final Deque<EndedAttempt> retainedAnswers = new ArrayDeque<>();

	private long answerBytes;

	AttemptRecords(AdmissionLimits limits, Clock clock) {
		this.limits = limits;
		this.clock = clock;
	}

	/**
	 * Records that an attempt has arrived, unless a record of it exists.
	 * @param id the attempt
	 * @return the recorded status of the attempt; empty if there was no record
	 */
	synchronized Optional<Fate> recordArrival(AttemptId id) {
		AttemptRecord attemptRecord = this.records.get(id);
		if (attemptRecord != null) {
			return Optional.of(attemptRecord.fate);
		}
		this.records.put(id, new AttemptRecord(Fate.FATE_RUNNING));
		return Optional.empty();
	}

	/**
	 * Records the end of an attempt and notifies the registered waiters.
	 * @param id the attempt
	 * @param fate the final status: finished or never runs
	 * @param reply the reply to the entry, which is retained
	 */
	void recordEnd(AttemptId id, Fate fate, ForwardReply reply) {
		List<Consumer<FateReply>> waiters;
		FateReply fateReply;
		synchronized (this) {
			AttemptRecord attemptRecord = this.records.computeIfAbsent(id, (key) -> new AttemptRecord(fate));
			attemptRecord.fate = fate;
			attemptRecord.reply = reply;
			waiters = List.copyOf(attemptRecord.waiters);
			attemptRecord.waiters.clear();
			fateReply = attemptRecord.toReply();
			retain(id, reply);
		}
		waiters.forEach((waiter) -> waiter.accept(fateReply));
	}

	/**
	 * Returns the status of an attempt, and records a tombstone if the attempt was never
	 * received.
	 * @param id the attempt
	 * @param waiter receives the final status when the attempt ends, if it is still
	 * running
	 * @return the current status
	 */
	synchronized FateReply queryFate(AttemptId id, Consumer<FateReply> waiter) {
		AttemptRecord attemptRecord = this.records.get(id);
		if (attemptRecord == null) {
			attemptRecord = new AttemptRecord(Fate.FATE_NEVER_RUNS);
			this.records.put(id, attemptRecord);
			retain(id, ForwardReply.getDefaultInstance());
		}
		if (attemptRecord.fate == Fate.FATE_RUNNING) {
			attemptRecord.waiters.add(waiter);
		}
		return attemptRecord.toReply();
	}

	private void retain(AttemptId id, ForwardReply reply) {
		EndedAttempt entry = new EndedAttempt(id, this.clock.nanoTime(), reply.getBody().size());
		this.endedAttempts.add(entry);
		this.retainedAnswers.add(entry);
		this.answerBytes += entry.answerSize();
		removeExpired();
	}

	private void removeExpired() {
		while (!this.retainedAnswers.isEmpty() && (this.answerBytes > this.limits.answerBytes()
				|| olderThan(this.retainedAnswers.peekFirst(), this.limits.answerRetention()))) {
			EndedAttempt oldest = this.retainedAnswers.removeFirst();
			this.answerBytes -= oldest.answerSize();
			AttemptRecord attemptRecord = this.records.get(oldest.id());
			if (attemptRecord != null) {
				attemptRecord.reply = null;
			}
		}
		while (!this.endedAttempts.isEmpty() && (this.endedAttempts.size() > MAXIMUM_RECORDS
				|| olderThan(this.endedAttempts.peekFirst(), this.limits.recordRetention()))) {
			this.records.remove(this.endedAttempts.removeFirst().id());
		}
	}

	private boolean olderThan(EndedAttempt entry, Duration age) {
		return this.clock.nanoTime() - entry.endedNanos() > age.toNanos();
	}

	private record EndedAttempt(AttemptId id, long endedNanos, int answerSize) {
	}

	private static final class AttemptRecord {

		private final List<Consumer<FateReply>> waiters = new ArrayList<>();

		private Fate fate;

		private @Nullable ForwardReply reply;

		private AttemptRecord(Fate fate) {
			this.fate = fate;
		}

		private FateReply toReply() {
			FateReply.Builder builder = FateReply.newBuilder().setFate(this.fate);
			if (this.reply != null) {
				builder.setReply(this.reply);
			}
			return builder.build();
		}

	}

}
