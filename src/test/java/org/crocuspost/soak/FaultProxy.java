package org.crocuspost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP proxy on the loopback interface that injects network faults into the connections to
 * a process: it delays, holds back or resets them. Bytes that are held back are delivered
 * once the proxy forwards again, as after a loss of packets.
 */
final class FaultProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int BACKLOG = 200;

	private static final long DELAY_MILLIS = 150;

	private final InetSocketAddress target;

	private final ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private Mode mode = Mode.FORWARDING;

	private volatile boolean closed;

	/**
	 * How the proxy treats the bytes that it receives.
	 */
	enum Mode {

		/**
		 * Bytes are forwarded in both directions.
		 */
		FORWARDING,

		/**
		 * Bytes are forwarded with a delay.
		 */
		DELAYED,

		/**
		 * No bytes are forwarded; connections stay open.
		 */
		BLOCKED,

		/**
		 * Bytes reach the target, but its responses are not forwarded.
		 */
		RESPONSES_BLOCKED,

		/**
		 * Open and new connections are reset.
		 */
		RESETTING

	}

	FaultProxy(InetSocketAddress listen, InetSocketAddress target) {
		this.target = target;
		try {
			this.server = new ServerSocket(listen.getPort(), BACKLOG, listen.getAddress());
		}
		catch (IOException ex) {
			throw new IllegalStateException("the fault proxy cannot listen on " + listen, ex);
		}
		startDaemon(this::accept);
	}

	private static void startDaemon(Runnable action) {
		Thread thread = new Thread(action, "fault-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void setMode(Mode value) {
		this.mode = value;
		notifyAll();
		if (value == Mode.RESETTING) {
			this.sockets.forEach(FaultProxy::reset);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The socket is already closed, as intended.
		}
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket clientSocket = this.server.accept();
				startDaemon(() -> connect(clientSocket));
			}
			catch (IOException ex) {
				// The server socket is closed at the end of the run. Any other failure to
				// accept affects only one connection.
			}
		}
	}

	private void connect(Socket clientSocket) {
		this.sockets.add(clientSocket);
		if (awaitForwarding(false) == Mode.RESETTING) {
			resetBoth(clientSocket, clientSocket);
			return;
		}
		Socket targetSocket = new Socket();
		this.sockets.add(targetSocket);
		try {
			targetSocket.connect(this.target, 1_000);
			clientSocket.setTcpNoDelay(true);
			targetSocket.setTcpNoDelay(true);
			startDaemon(() -> forward(clientSocket, targetSocket, false));
			forward(targetSocket, clientSocket, true);
		}
		catch (IOException ex) {
			resetBoth(clientSocket, targetSocket);
		}
	}

	private void forward(Socket from, Socket to, boolean response) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream in = from.getInputStream(); OutputStream out = to.getOutputStream()) {
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (awaitForwarding(response) == Mode.RESETTING) {
					break;
				}
				out.write(buffer, 0, count);
				out.flush();
			}
		}
		catch (IOException ex) {
			// One side closed the connection; both sockets are reset below.
		}
		resetBoth(from, to);
	}

	private void resetBoth(Socket first, Socket second) {
		reset(first);
		reset(second);
		this.sockets.remove(first);
		this.sockets.remove(second);
	}

	private synchronized Mode awaitForwarding(boolean response) {
		try {
			if (this.mode == Mode.DELAYED) {
				wait(DELAY_MILLIS);
			}
			while (!this.closed && (this.mode == Mode.BLOCKED || (response && this.mode == Mode.RESPONSES_BLOCKED))) {
				wait();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Mode.RESETTING;
		}
		return this.mode;
	}

	@Override
	public void close() {
		this.closed = true;
		setMode(Mode.RESETTING);
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new IllegalStateException("the fault proxy cannot be closed", ex);
		}
	}

}
