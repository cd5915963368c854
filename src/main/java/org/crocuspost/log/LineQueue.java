package org.crocuspost.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Bounded queue of log lines that a background thread writes, so that a blocked reader of
 * the output never blocks the threads that log. Lines that exceed the capacity are
 * dropped and counted; a line with the count is appended to the next batch that is
 * written.
 */
public final class LineQueue {

	/**
	 * Maximum number of waiting lines: a few seconds of output from a busy leader, about
	 * one megabyte.
	 */
	static final int CAPACITY = 4_096;

	private final LineOutput output;

	private final int capacity;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Deque<String> lines = new ArrayDeque<>();

	private long unreportedDrops;

	private long totalDropped;

	private boolean writing;

	/**
	 * Creates the queue and starts its writer thread.
	 * @param output the output to write to; may block
	 * @param capacity the maximum number of waiting lines
	 */
	public LineQueue(LineOutput output, int capacity) {
		this.output = output;
		this.capacity = capacity;
		Thread writer = new Thread(this::writeLoop, "log-writer");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Adds a line, or drops it if the queue is full. Blocks only briefly for the lock and
	 * never waits for the output.
	 * @param line the line without a line terminator
	 */
	public void add(String line) {
		this.lock.lock();
		try {
			if (this.lines.size() >= this.capacity) {
				this.unreportedDrops++;
				this.totalDropped++;
				return;
			}
			this.lines.addLast(line);
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of lines that were dropped since the queue was created.
	 * @return the number of dropped lines
	 */
	public long totalDropped() {
		this.lock.lock();
		try {
			return this.totalDropped;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until all lines are written or the timeout expires.
	 * @param timeoutNanos the maximum wait in nanoseconds
	 */
	public void flush(long timeoutNanos) {
		this.lock.lock();
		try {
			long remaining = timeoutNanos;
			while ((this.writing || !this.lines.isEmpty()) && remaining > 0) {
				remaining = this.changed.awaitNanos(remaining);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void writeLoop() {
		while (true) {
			byte[] text = takeWaitingLines();
			this.output.write(text);
			this.lock.lock();
			try {
				this.writing = false;
				this.changed.signalAll();
			}
			finally {
				this.lock.unlock();
			}
		}
	}

	private byte[] takeWaitingLines() {
		this.lock.lock();
		try {
			while (this.lines.isEmpty()) {
				this.changed.awaitUninterruptibly();
			}
			StringBuilder text = new StringBuilder();
			for (String line : this.lines) {
				text.append(line).append('\n');
			}
			this.lines.clear();
			if (this.unreportedDrops > 0) {
				text.append("{\"event\":\"log-lines-dropped\",\"count\":\"")
					.append(this.unreportedDrops)
					.append("\"}\n");
				this.unreportedDrops = 0;
			}
			this.writing = true;
			return text.toString().getBytes(StandardCharsets.UTF_8);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Output for batches of log lines.
	 */
	@FunctionalInterface
	public interface LineOutput {

		/**
		 * Writes complete lines; may block.
		 * @param text the lines in UTF-8, each with a line terminator
		 */
		void write(byte[] text);

	}

}
