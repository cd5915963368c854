package org.crocuspost.time;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class VirtualTimeTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final List<String> executions = new ArrayList<>();

	@Test
	void actionsRunInOrderOfDueTime() {
		this.time.schedule(Duration.ofSeconds(2), () -> this.executions.add("second at " + this.time.instant()));
		this.time.schedule(Duration.ofSeconds(1), () -> this.executions.add("first at " + this.time.instant()));
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.executions).containsExactly("first at 1970-01-01T00:00:01Z", "second at 1970-01-01T00:00:02Z");
	}

	@Test
	void cancelledRepetitionRunsNoMore() {
		Cancellable repetition = this.time.repeat(Duration.ofSeconds(1), () -> this.executions.add("execution"));
		this.time.advance(Duration.ofSeconds(3));
		repetition.cancel();
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.executions).hasSize(3);
	}

	/**
	 * Guards against an error, or an action that never runs, in tests of classes that
	 * schedule on their own event loop.
	 */
	@Test
	void actionsThatOtherThreadsScheduleAreKept() throws InterruptedException {
		int count = 20_000;
		AtomicInteger runs = new AtomicInteger();
		Thread other = new Thread(() -> {
			for (int number = 0; number < count; number++) {
				this.time.schedule(Duration.ofMillis(1), () -> {
				}).cancel();
				this.time.schedule(Duration.ofMillis(number % 7), runs::incrementAndGet);
			}
		});
		other.start();
		for (int number = 0; number < count; number++) {
			this.time.schedule(Duration.ofMillis(number % 5), runs::incrementAndGet);
			this.time.advance(Duration.ofNanos(100));
		}
		other.join();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(runs).hasValue(2 * count);
	}

}
