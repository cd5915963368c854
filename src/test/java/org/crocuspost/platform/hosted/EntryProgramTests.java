package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import org.crocuspost.net.Sockets;
import org.crocuspost.time.SystemClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how an entry stops.
 */
class EntryProgramTests {

	private static final int READ_TIMEOUT_MILLIS = 5_000;

	private static final byte[] REQUEST = "GET /queue/ HTTP/1.1\r\nHost: host\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	@TempDir
	private Path folder;

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private HostSettings settings(int callerPort) throws Exception {
		Path file = this.folder.resolve("settings.conf");
		Files.writeString(file, String.join("\n", "node_name=entry", "ip=127.0.0.1", "zone=zone",
				"listen_addrs.frontend_addr=127.0.0.1:" + callerPort,
				"listen_addrs.readiness_addr=127.0.0.1:" + freePort(),
				"listen_addrs.control_plane=127.0.0.1:" + freePort(), "port_range=" + freePort() + "," + freePort(),
				"heartbeat_ms=1500", "platform.address=127.0.0.1:" + freePort(), "platform.row_bytes=65536",
				"bounds.max_hold_ms=6000", "bounds.stop_timeout_ms=200", "bounds.grace_s=6",
				"bounds.remote_penalty=1.5", "bounds.interference_ms=4000", "bounds.cancel_ms=3000",
				"bounds.status_s=120"));
		return HostSettings.of(PropertyFile.read(file));
	}

	/**
	 * A request on an open connection was read after the entry had stopped, and got no
	 * answer when the process exited some time later.
	 */
	@Test
	void closesOpenConnectionsWhenItHasStopped() throws Exception {
		int port = freePort();
		EventLoop loop = Sockets.eventLoop("test").next();
		EntryProgram entry = new EntryProgram(settings(port), loop, new SystemClock());
		entry.start();
		try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			caller.getOutputStream().write(REQUEST);
			assertThat(caller.getInputStream().read()).isNotEqualTo(-1);
			entry.stop();
			assertThat(caller.getInputStream().readAllBytes()).isNotEmpty();
		}
		finally {
			loop.parent().shutdownGracefully();
		}
	}

	/**
	 * Guards against callers that send their next request on a connection that ends.
	 */
	@Test
	void closesIdleConnectionsAndMarksAnswersWhileItStops() throws Exception {
		int port = freePort();
		EventLoop loop = Sockets.eventLoop("test").next();
		EntryProgram entry = new EntryProgram(settings(port), loop, new SystemClock());
		entry.start();
		try (Socket idle = new Socket(InetAddress.getLoopbackAddress(), port)) {
			idle.setSoTimeout(READ_TIMEOUT_MILLIS);
			idle.getOutputStream().write(REQUEST);
			assertThat(idle.getInputStream().read()).isNotEqualTo(-1);
			CompletableFuture<Void> stop = CompletableFuture.runAsync(entry::stop);
			// Ends when the entry closes the idle connection.
			idle.getInputStream().readAllBytes();
			assertThat(stop).isNotDone();
			try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
				caller.setSoTimeout(READ_TIMEOUT_MILLIS);
				caller.getOutputStream().write(REQUEST);
				assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
					.containsIgnoringCase("connection: close");
			}
			stop.join();
		}
		finally {
			loop.parent().shutdownGracefully();
		}
	}

	/**
	 * The drain takes 2.6 s, and callers are answered 2.34 s after their request at the
	 * latest.
	 */
	@Test
	void answersBeforeThePlatformKillsTheProcess() {
		assertThat(EntryProgram.answerLimit(Duration.ofSeconds(6))).isBetween(Duration.ofMillis(2_340),
				Duration.ofMillis(3_400));
		assertThat(EntryProgram.answerLimit(Duration.ofSeconds(4))).isLessThan(Duration.ofMillis(1_400));
		assertThat(EntryProgram.answerLimit(Duration.ofSeconds(2))).isZero();
	}

}
