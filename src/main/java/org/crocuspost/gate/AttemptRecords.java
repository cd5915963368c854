package org.crocuspost.gate;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.crocuspost.gate.AdmissionSettings.AdmissionLimits;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.FateReply;
import org.crocuspost.wire.FateReply.Fate;
import org.crocuspost.wire.ForwardReply;
import org.jspecify.annotations.Nullable;

/**
 * What became of each attempt that this agent has seen or has been asked about.
 * <p>
 * An attempt that is asked about before it was seen gets a tombstone: if its frame
 * arrives later it is refused. So the answer "never runs" stays true, and the entry may
 * send the request elsewhere. Tombstones outlive the longest deadline of a request.
 */
final class AttemptRecords {

	private static final int MAXIMUM_RECORDS = 100_000;

	private final AdmissionLimits limits;

	private final Clock clock;

	private final Map<AttemptId, AttemptRecord> records = new HashMap<>();

	private final Deque<Settled> settled = new ArrayDeque<>();

	private final Deque<Settled> answers = new ArrayDeque<>();

	private long answerBytes;

	AttemptRecords(AdmissionLimits limits, Clock clock) {
		this.limits = limits;
		this.clock = clock;
	}

	/**
	 * Records that an attempt has arrived, unless it is known already.
	 * @param id the attempt
	 * @return what was known of it, or empty if it was new
	 */
	synchronized Optional<Fate> arrive(AttemptId id) {
		AttemptRecord known = this.records.get(id);
		if (known != null) {
			return Optional.of(known.fate);
		}
		this.records.put(id, new AttemptRecord(Fate.FATE_RUNNING));
		return Optional.empty();
	}

	/**
	 * Records the end of an attempt and tells those who wait for it.
	 * @param id the attempt
	 * @param fate finished, or never runs
	 * @param reply the answer
	 */
	void settle(AttemptId id, Fate fate, ForwardReply reply) {
		List<Consumer<FateReply>> waiters;
		FateReply fateReply;
		synchronized (this) {
			AttemptRecord known = this.records.computeIfAbsent(id, (key) -> new AttemptRecord(fate));
			known.fate = fate;
			known.reply = reply;
			waiters = List.copyOf(known.waiters);
			known.waiters.clear();
			fateReply = known.toReply();
			remember(id, reply);
		}
		waiters.forEach((waiter) -> waiter.accept(fateReply));
	}

	/**
	 * Asks for the fate of an attempt; leaves a tombstone if it was never seen.
	 * @param id the attempt
	 * @param waiter is told of the end of the attempt if it is still running
	 * @return the fate now
	 */
	synchronized FateReply ask(AttemptId id, Consumer<FateReply> waiter) {
		AttemptRecord known = this.records.get(id);
		if (known == null) {
			known = new AttemptRecord(Fate.FATE_NEVER_RUNS);
			this.records.put(id, known);
			remember(id, ForwardReply.getDefaultInstance());
		}
		if (known.fate == Fate.FATE_RUNNING) {
			known.waiters.add(waiter);
		}
		return known.toReply();
	}

	private void remember(AttemptId id, ForwardReply reply) {
		Settled entry = new Settled(id, this.clock.nanoTime(), reply.getBody().size());
		this.settled.add(entry);
		this.answers.add(entry);
		this.answerBytes += entry.bytes();
		forget();
	}

	private void forget() {
		while (!this.answers.isEmpty() && (this.answerBytes > this.limits.answerBytes()
				|| older(this.answers.peekFirst(), this.limits.answerRetention()))) {
			Settled oldest = this.answers.removeFirst();
			this.answerBytes -= oldest.bytes();
			AttemptRecord known = this.records.get(oldest.id());
			if (known != null) {
				known.reply = null;
			}
		}
		while (!this.settled.isEmpty() && (this.settled.size() > MAXIMUM_RECORDS
				|| older(this.settled.peekFirst(), this.limits.factRetention()))) {
			this.records.remove(this.settled.removeFirst().id());
		}
	}

	private boolean older(Settled entry, Duration age) {
		return this.clock.nanoTime() - entry.nanos() > age.toNanos();
	}

	private record Settled(AttemptId id, long nanos, int bytes) {
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
