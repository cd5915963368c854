package org.crocuspost.hostile;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * Sends single requests, each on a connection of its own.
 */
final class OrdinaryCaller {

	private static final int TRIES = 20;

	/**
	 * Tries while a program starts. The monitoring server listens 4 s after the others.
	 */
	private static final int START_TRIES = 100;

	private static final int TIMEOUT_MILLIS = 2_000;

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private OrdinaryCaller() {
	}

	/**
	 * Repeats a request until it gets an expected status.
	 * @param address the address of the server
	 * @param request the request
	 * @param expectedStatus the expected status
	 * @return the last status or error
	 */
	static String repeat(InetSocketAddress address, byte[] request, String expectedStatus) {
		return repeat(() -> send(address, request), expectedStatus);
	}

	/**
	 * Repeats an attempt until it has an expected result.
	 * @param attempt the attempt
	 * @param expectedResult the expected result
	 * @return the last result
	 */
	static String repeat(Supplier<String> attempt, String expectedResult) {
		String result = "";
		for (int number = 0; number < TRIES; number++) {
			result = attempt.get();
			if (result.equals(expectedResult)) {
				return result;
			}
			LockSupport.parkNanos(PAUSE_NANOS);
		}
		return result;
	}

	/**
	 * Waits until a starting program listens on an address.
	 * @param address the address
	 */
	static void awaitListening(InetSocketAddress address) {
		for (int number = 0; number < START_TRIES && !listens(address); number++) {
			LockSupport.parkNanos(PAUSE_NANOS);
		}
	}

	private static boolean listens(InetSocketAddress address) {
		try (Socket socket = new Socket()) {
			socket.connect(address, TIMEOUT_MILLIS);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Sends a request.
	 * @param address the address of the server
	 * @param request the request
	 * @return the status of the response, or the error
	 */
	static String send(InetSocketAddress address, byte[] request) {
		try (Socket socket = new Socket()) {
			socket.connect(address, TIMEOUT_MILLIS);
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.getOutputStream().write(request);
			String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
				.readLine();
			return (line != null) ? line.split(" ")[1] : "closed";
		}
		catch (IOException ex) {
			return String.valueOf(ex);
		}
	}

	static byte[] get(String path) {
		return ("GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * Returns a request whose head has a given number of further header lines and a given
	 * size of them.
	 */
	static byte[] getWithHeaders(String path, int headerBytes, int lines) {
		StringBuilder head = new StringBuilder("GET " + path + " HTTP/1.1\r\nHost: host\r\n");
		for (int line = 0; line < lines; line++) {
			String name = "a" + line + ": ";
			head.append(name).append("x".repeat(headerBytes / lines - name.length() - 2)).append("\r\n");
		}
		return head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
	}

	static byte[] request(String method, String path, String body) {
		return (method + " " + path + " HTTP/1.1\r\nHost: host\r\nContent-Type: application/json\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII);
	}

}
