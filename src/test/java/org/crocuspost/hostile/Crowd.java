package org.crocuspost.hostile;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Connections to one address that stay open and send what their scripts say. A connection
 * that the server closes is opened again a few times.
 */
final class Crowd implements AutoCloseable {

	private static final int ROUND_MILLIS = 20;

	/**
	 * Rounds without a sent byte after which the crowd counts as settled, although the
	 * server has not read everything.
	 */
	private static final int QUIET_ROUNDS = 100;

	/**
	 * Rounds after which a crowd whose connections are closed again and again counts as
	 * settled.
	 */
	private static final int MAXIMUM_ROUNDS = 1_000;

	private static final int REOPENINGS_PER_CONNECTION = 4;

	/**
	 * Receive buffer of connections that read nothing. The answers that do not fit stay
	 * with the server.
	 */
	private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

	private final InetSocketAddress address;

	private final IntFunction<Script> scripts;

	private final boolean reading;

	private final Selector selector = Selector.open();

	private final List<Member> members = new ArrayList<>();

	private final ByteBuffer received = ByteBuffer.allocateDirect(65_536);

	private final CountDownLatch settled = new CountDownLatch(1);

	private final Thread thread;

	private volatile boolean closed;

	private int reopenings;

	private long sentBytes;

	/**
	 * Opens the connections.
	 * @param address the address of the server
	 * @param connections the number of connections
	 * @param reading whether the connections read what the server sends
	 * @param scripts the script of each connection
	 */
	Crowd(InetSocketAddress address, int connections, boolean reading, IntFunction<Script> scripts) throws IOException {
		this.address = address;
		this.scripts = scripts;
		this.reading = reading;
		for (int number = 0; number < connections; number++) {
			this.members.add(new Member(number));
		}
		this.thread = new Thread(this::run, "crowd");
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Waits until all openings have been sent or the server takes no more of them.
	 */
	void awaitSettled() throws InterruptedException {
		if (!this.settled.await(60, TimeUnit.SECONDS)) {
			throw new IllegalStateException("the crowd has not settled");
		}
	}

	private void run() {
		int quietRounds = 0;
		int rounds = 0;
		while (!this.closed) {
			long before = this.sentBytes;
			try {
				this.selector.select(ROUND_MILLIS);
				this.selector.selectedKeys().clear();
				for (Member member : this.members) {
					member.advance();
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException("the crowd cannot wait for its connections", ex);
			}
			boolean sending = this.members.stream().anyMatch(Member::opening);
			quietRounds = (this.sentBytes == before) ? quietRounds + 1 : 0;
			if (!sending || quietRounds > QUIET_ROUNDS || rounds++ > MAXIMUM_ROUNDS) {
				this.settled.countDown();
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.selector.wakeup();
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		for (Member member : this.members) {
			member.channel.close();
		}
		this.selector.close();
	}

	private final class Member {

		private final int number;

		private SocketChannel channel;

		private Script script;

		private ByteBuffer pending = ByteBuffer.allocate(0);

		private boolean left;

		private long lastTrickleNanos;

		private Member(int number) throws IOException {
			this.number = number;
			open();
		}

		private void open() throws IOException {
			this.script = Crowd.this.scripts.apply(this.number);
			this.pending = ByteBuffer.allocate(0);
			this.channel = SocketChannel.open();
			if (!Crowd.this.reading) {
				this.channel.setOption(StandardSocketOptions.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES);
			}
			this.channel.configureBlocking(false);
			this.channel.connect(Crowd.this.address);
			this.channel.register(Crowd.this.selector, SelectionKey.OP_CONNECT);
		}

		private boolean opening() {
			return !this.left && (this.pending.hasRemaining() || this.script.opening().hasNext());
		}

		private void advance() throws IOException {
			if (this.left) {
				return;
			}
			try {
				if (!this.channel.finishConnect()) {
					return;
				}
				if (Crowd.this.reading) {
					read();
				}
				write();
				SelectionKey key = this.channel.keyFor(Crowd.this.selector);
				if (key != null) {
					key.interestOps(
							(Crowd.this.reading ? SelectionKey.OP_READ : 0) | (opening() ? SelectionKey.OP_WRITE : 0));
				}
			}
			catch (IOException ex) {
				reopen();
			}
		}

		private void reopen() throws IOException {
			this.channel.close();
			this.left = ++Crowd.this.reopenings > REOPENINGS_PER_CONNECTION * Crowd.this.members.size();
			if (!this.left) {
				open();
			}
		}

		private void read() throws IOException {
			Crowd.this.received.clear();
			while (this.channel.read(Crowd.this.received) > 0) {
				Crowd.this.received.clear();
			}
			if (Crowd.this.received.position() == 0 && this.channel.read(Crowd.this.received) < 0) {
				throw new IOException("the server has closed the connection");
			}
		}

		private void write() throws IOException {
			if (!this.pending.hasRemaining()) {
				if (this.script.opening().hasNext()) {
					this.pending = ByteBuffer.wrap(this.script.opening().next());
				}
				else if (this.script.trickle().hasNext() && trickleDue()) {
					this.pending = ByteBuffer.wrap(this.script.trickle().next());
				}
			}
			Crowd.this.sentBytes += this.channel.write(this.pending);
		}

		private boolean trickleDue() {
			long now = System.nanoTime();
			if (now - this.lastTrickleNanos < TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS)) {
				return false;
			}
			this.lastTrickleNanos = now;
			return true;
		}

	}

}
