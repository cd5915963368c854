package org.crocuspost.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against log output that nobody reads: it must neither block the threads that log
 * nor make the queue grow without bound.
 */
class LineQueueTests {

	private static final int CAPACITY = 10;

	private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

	@Test
	void blockedOutputNeverBlocksCallersAndDroppedLinesAreCounted() throws InterruptedException {
		CountDownLatch writeStarted = new CountDownLatch(1);
		CountDownLatch writeAllowed = new CountDownLatch(1);
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		LineQueue queue = new LineQueue((bytes) -> {
			writeStarted.countDown();
			awaitQuietly(writeAllowed);
			text.writeBytes(bytes);
		}, CAPACITY);
		queue.add("first");
		writeStarted.await();
		for (int line = 0; line < 100; line++) {
			queue.add("line " + line);
		}
		assertThat(queue.totalDropped()).isEqualTo(100 - CAPACITY);
		writeAllowed.countDown();
		queue.flush(FLUSH_TIMEOUT_NANOS);
		String[] lines = text.toString(StandardCharsets.UTF_8).split("\n");
		assertThat(lines).hasSize(1 + CAPACITY + 1);
		assertThat(lines[lines.length - 1]).isEqualTo("{\"event\":\"log-lines-dropped\",\"count\":\"90\"}");
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
