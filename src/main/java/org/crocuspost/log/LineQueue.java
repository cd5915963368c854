package org.crocuspost.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Hands log lines to a thread that writes them, so that a reader that does not read never
 * blocks the work of the process. Lines that do not fit are dropped and counted; a line
 * with the count follows once there is room.
 */
public final class LineQueue {

	/**
	 * Lines that may wait: some seconds of a busy leader, about a megabyte.
	 */
	static final int CAPACITY = 4_096;

	private final LineOutput output;

	private final int capacity;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Deque<String> lines = new ArrayDeque<>();

	private long dropped;

	private long droppedInAll;

	private boolean writing;

	/**
	 * Creates the queue and starts its thread.
	 * @param output writes text; may block
	 * @param capacity the most lines that wait
	 */
	public LineQueue(LineOutput output, int capacity) {
		this.output = output;
		this.capacity = capacity;
		Thread writer = new Thread(this::writeForever, "log-writer");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Adds a line; never blocks for longer than a moment.
	 * @param line the line without its end
	 */
	public void add(String line) {
		this.lock.lock();
		try {
			if (this.lines.size() >= this.capacity) {
				this.dropped++;
				this.droppedInAll++;
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
	 * Returns how many lines were dropped in all.
	 * @return the number
	 */
	public long dropped() {
		this.lock.lock();
		try {
			return this.droppedInAll;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until all lines are written, for a bounded time.
	 * @param timeoutNanos the longest wait in nanoseconds
	 */
	public void flush(long timeoutNanos) {
		this.lock.lock();
		try {
			long left = timeoutNanos;
			while ((this.writing || !this.lines.isEmpty()) && left > 0) {
				left = this.changed.awaitNanos(left);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void writeForever() {
		while (true) {
			byte[] text = take();
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

	private byte[] take() {
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
			if (this.dropped > 0) {
				text.append("{\"event\":\"log-lines-dropped\",\"count\":\"").append(this.dropped).append("\"}\n");
				this.dropped = 0;
			}
			this.writing = true;
			return text.toString().getBytes(StandardCharsets.UTF_8);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Writes text.
	 */
	@FunctionalInterface
	public interface LineOutput {

		/**
		 * Writes whole lines; may block.
		 * @param text the lines in UTF-8
		 */
		void write(byte[] text);

	}

}
