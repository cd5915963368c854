package org.crocuspost.admission;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SlotQueueTests {

	private static final int SLOTS = 2;

	private static final int QUEUE_LIMIT = 3;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final SlotQueue queue = new SlotQueue(
			new AdmissionSettings("endpoint", "service", URI.create("http://127.0.0.1:1"), "worker", "rack", SLOTS,
					SLOTS, QUEUE_LIMIT, AdmissionSettings.AdmissionLimits.DEFAULT),
			this.time, this.time);

	private final List<String> started = new ArrayList<>();

	private final List<String> refused = new ArrayList<>();

	private final List<Slot> slots = new ArrayList<>();

	private void submit(String name, int priority, Duration timeout) {
		this.queue.submit(new SlotRequest(priority, this.time.nanoTime() + timeout.toNanos(), (slot) -> {
			this.started.add(name);
			this.slots.add(slot);
		}, (failure) -> this.refused.add(name + " " + failure.code().code())));
	}

	private void finishOldest() {
		this.slots.remove(0).release();
	}

	@Test
	void runningAndQueuedRequestsAreLimited() {
		for (int index = 0; index < SLOTS + QUEUE_LIMIT + 1; index++) {
			submit("r" + index, 5, Duration.ofSeconds(1));
		}
		assertThat(this.started).containsExactly("r0", "r1");
		assertThat(this.refused).containsExactly("r5 " + ErrorCode.OVERLOADED.code());
		finishOldest();
		assertThat(this.started).containsExactly("r0", "r1", "r2");
	}

	@Test
	void slotReleasedTwiceIsFreedOnce() {
		submit("r0", 5, Duration.ofSeconds(1));
		submit("r1", 5, Duration.ofSeconds(1));
		submit("r2", 5, Duration.ofSeconds(1));
		submit("r3", 5, Duration.ofSeconds(1));
		Slot first = this.slots.get(0);
		first.release();
		first.release();
		assertThat(this.started).containsExactly("r0", "r1", "r2");
	}

	@Test
	void higherPriorityRequestRunsFirstAndDisplacesLowerPriorityRequest() {
		submit("a", 5, Duration.ofSeconds(1));
		submit("b", 5, Duration.ofSeconds(1));
		for (int index = 0; index < QUEUE_LIMIT; index++) {
			submit("later" + index, 5, Duration.ofSeconds(1));
		}
		submit("urgent", 0, Duration.ofSeconds(1));
		assertThat(this.refused).containsExactly("later2 " + ErrorCode.OVERLOADED.code());
		finishOldest();
		assertThat(this.started).containsExactly("a", "b", "urgent");
	}

	@Test
	void requestThatCannotFinishBeforeItsDeadlineIsRefusedOnArrival() {
		submit("a", 5, Duration.ofSeconds(1));
		this.time.advance(Duration.ofMillis(100));
		finishOldest();
		submit("b", 5, Duration.ofSeconds(1));
		submit("c", 5, Duration.ofSeconds(1));
		submit("tooLate", 5, Duration.ofMillis(120));
		submit("inTime", 5, Duration.ofMillis(500));
		assertThat(this.refused).containsExactly("tooLate " + ErrorCode.OVERLOADED.code());
	}

	@Test
	void queuedRequestIsRefusedAtItsDeadline() {
		submit("a", 5, Duration.ofSeconds(10));
		submit("b", 5, Duration.ofSeconds(10));
		submit("c", 5, Duration.ofMillis(200));
		this.time.advance(Duration.ofMillis(199));
		assertThat(this.refused).isEmpty();
		this.time.advance(Duration.ofMillis(1));
		assertThat(this.refused).containsExactly("c " + ErrorCode.DEADLINE_BEFORE_START.code());
		finishOldest();
		assertThat(this.started).containsExactly("a", "b");
	}

	@Test
	void drainRefusesNewRequestsAndCompletesAdmittedOnes() {
		submit("a", 5, Duration.ofSeconds(1));
		submit("b", 5, Duration.ofSeconds(1));
		submit("c", 5, Duration.ofSeconds(1));
		var drained = this.queue.drain().toCompletableFuture();
		submit("d", 5, Duration.ofSeconds(1));
		assertThat(this.refused).containsExactly("d " + ErrorCode.ENDPOINT_LEAVING.code());
		finishOldest();
		finishOldest();
		assertThat(drained).isNotDone();
		finishOldest();
		assertThat(drained).isDone();
		assertThat(this.started).containsExactly("a", "b", "c");
	}

}
