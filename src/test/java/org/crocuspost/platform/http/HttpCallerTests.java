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
 * What becomes of calls when connections go silent without a reset.
 */
class HttpCallerTests {

	private static final Duration GENEROUS = Duration.ofSeconds(20);

	private final EventLoopGroup loop = Sockets.eventLoop("http-caller-tests");

	private final HttpCaller caller = new HttpCaller(this.loop.next(), 4);

	private CompletableFuture<HttpOutcome> call(SilencingServer server, Duration timeout) {
		CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
		HttpCaller.Request request = new HttpCaller.Request("GET", "/", Map.of(), new byte[0]);
		this.loop.next().execute(() -> this.caller.call(server.address(), request, timeout, outcome::complete));
		return outcome;
	}

	@AfterEach
	void endLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	/**
	 * Open connections go silent for good while new ones work. Each call that tries
	 * another kept connection costs a time-out, and leases lapse meanwhile.
	 */
	@Test
	void afterOneSilentConnectionTheOthersThatWereKeptAreNotTried() throws Exception {
		try (SilencingServer server = new SilencingServer()) {
			CompletableFuture<HttpOutcome> first = call(server, GENEROUS);
			CompletableFuture<HttpOutcome> second = call(server, GENEROUS);
			server.bothAsked.await();
			server.mayAnswer.countDown();
			assertThat(first.get()).isInstanceOf(HttpOutcome.Answered.class);
			assertThat(second.get()).isInstanceOf(HttpOutcome.Answered.class);
			server.silentBefore = server.accepted;
			assertThat(call(server, Duration.ofMillis(100)).get()).isInstanceOf(HttpOutcome.Unanswered.class);
			assertThat(call(server, Duration.ofSeconds(5)).get()).isInstanceOf(HttpOutcome.Answered.class);
		}
	}

	/**
	 * Server whose older connections can go silent while new ones work.
	 */
	private static final class SilencingServer implements AutoCloseable {

		private final ServerSocket socket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());

		private final CountDownLatch bothAsked = new CountDownLatch(2);

		private final CountDownLatch mayAnswer = new CountDownLatch(1);

		private volatile int accepted;

		private volatile int silentBefore;

		private SilencingServer() throws IOException {
			daemon(this::accept);
		}

		private static void daemon(Runnable action) {
			Thread thread = new Thread(action, "silencing-server");
			thread.setDaemon(true);
			thread.start();
		}

		private InetSocketAddress address() {
			return new InetSocketAddress(this.socket.getInetAddress(), this.socket.getLocalPort());
		}

		private void accept() {
			try {
				while (true) {
					Socket connection = this.socket.accept();
					int number = this.accepted++;
					daemon(() -> serve(connection, number));
				}
			}
			catch (IOException ex) {
				// The server is closed.
			}
		}

		private void serve(Socket connection, int number) {
			try {
				Scanner requests = new Scanner(connection.getInputStream(), StandardCharsets.US_ASCII)
					.useDelimiter("\r\n\r\n");
				while (requests.hasNext()) {
					requests.next();
					this.bothAsked.countDown();
					this.mayAnswer.await();
					if (number >= this.silentBefore) {
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
