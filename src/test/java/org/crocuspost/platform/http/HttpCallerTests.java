package org.crocuspost.platform.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Scanner;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.crocuspost.net.Sockets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests calls over connections that become unresponsive without a reset.
 */
class HttpCallerTests {

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

	private final EventLoopGroup loop = Sockets.eventLoop("http-caller-tests");

	private final HttpCaller caller = new HttpCaller(this.loop.next(), 4);

	private CompletableFuture<HttpOutcome> call(UnresponsiveServer server, Duration timeout) {
		CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
		HttpCaller.Request request = new HttpCaller.Request("GET", "/", Map.of(), new byte[0]);
		this.loop.next().execute(() -> this.caller.call(server.address(), request, timeout, outcome::complete));
		return outcome;
	}

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	/**
	 * Guards against a series of timeouts when all open connections become permanently
	 * unresponsive while new ones work. Each call that tries another idle connection
	 * costs a timeout, and leases expire meanwhile.
	 */
	@Test
	void otherIdleConnectionsToTheAddressAreNotReusedAfterATimeout() throws Exception {
		try (UnresponsiveServer server = new UnresponsiveServer()) {
			CompletableFuture<HttpOutcome> first = call(server, LONG_TIMEOUT);
			CompletableFuture<HttpOutcome> second = call(server, LONG_TIMEOUT);
			server.bothRequestsReceived.await();
			server.answersAllowed.countDown();
			assertThat(first.get()).isInstanceOf(HttpOutcome.Answered.class);
			assertThat(second.get()).isInstanceOf(HttpOutcome.Answered.class);
			server.firstResponsiveConnection = server.acceptedConnections;
			assertThat(call(server, Duration.ofMillis(100)).get()).isInstanceOf(HttpOutcome.Unanswered.class);
			assertThat(call(server, Duration.ofSeconds(5)).get()).isInstanceOf(HttpOutcome.Answered.class);
		}
	}

	/**
	 * Server that can stop answering on its older connections while new ones work.
	 */
	private static final class UnresponsiveServer implements AutoCloseable {

		private final ServerSocket socket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());

		private final CountDownLatch bothRequestsReceived = new CountDownLatch(2);

		private final CountDownLatch answersAllowed = new CountDownLatch(1);

		private volatile int acceptedConnections;

		private volatile int firstResponsiveConnection;

		private UnresponsiveServer() throws IOException {
			startDaemon(this::acceptConnections);
		}

		private static void startDaemon(Runnable action) {
			Thread thread = new Thread(action, "unresponsive-server");
			thread.setDaemon(true);
			thread.start();
		}

		private InetSocketAddress address() {
			return new InetSocketAddress(this.socket.getInetAddress(), this.socket.getLocalPort());
		}

		private void acceptConnections() {
			try {
				while (true) {
					Socket connection = this.socket.accept();
					int number = this.acceptedConnections++;
					startDaemon(() -> serve(connection, number));
				}
			}
			catch (IOException ex) {
				// The server was closed.
			}
		}

		private void serve(Socket connection, int number) {
			try {
				Scanner requests = new Scanner(connection.getInputStream(), StandardCharsets.US_ASCII)
					.useDelimiter("\r\n\r\n");
				while (requests.hasNext()) {
					requests.next();
					this.bothRequestsReceived.countDown();
					this.answersAllowed.await();
					if (number >= this.firstResponsiveConnection) {
						connection.getOutputStream()
							.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
					}
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
