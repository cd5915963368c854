package org.crocuspost.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Logging neither blocks nor grows while nobody reads.
 */
class LineQueueTests {

	private static final int CAPACITY = 10;

	private static final long PATIENCE = TimeUnit.SECONDS.toNanos(10);

	@Test
	void aReaderThatDoesNotReadBlocksNobodyAndLosesCountedLines() throws InterruptedException {
		CountDownLatch reading = new CountDownLatch(1);
		CountDownLatch mayRead = new CountDownLatch(1);
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		LineQueue queue = new LineQueue((bytes) -> {
			reading.countDown();
			awaitQuietly(mayRead);
			text.writeBytes(bytes);
		}, CAPACITY);
		queue.add("first");
		reading.await();
		for (int line = 0; line < 100; line++) {
			queue.add("line " + line);
		}
		assertThat(queue.dropped()).isEqualTo(100 - CAPACITY);
		mayRead.countDown();
		queue.flush(PATIENCE);
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
