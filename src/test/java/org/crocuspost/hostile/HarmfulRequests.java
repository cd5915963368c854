package org.crocuspost.hostile;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Scripts of connections that send requests in harmful ways.
 */
final class HarmfulRequests {

	/**
	 * Largest body of a request to submit a job, in bytes.
	 */
	static final int MAXIMUM_BODY_BYTES = 262_144;

	/**
	 * Largest body of a heartbeat that the agent reads, in bytes.
	 */
	static final int MAXIMUM_HEARTBEAT_BYTES = 65_536;

	/**
	 * Largest message between a leader and an agent, without its length field, in bytes.
	 */
	static final int MAXIMUM_FRAME_BYTES = 4 * 1_024 * 1_024 - 4;

	/**
	 * Largest head of a request, in bytes.
	 */
	static final int MAXIMUM_HEAD_BYTES = 8_192;

	/**
	 * Bytes that one connection sends before it goes on slowly.
	 */
	private static final int ENDLESS_OPENING_BYTES = 512 * 1_024;

	private static final int OVERSIZED_HEAD_BYTES = 64 * 1_024;

	private static final int PIECE_BYTES = 1_000;

	private HarmfulRequests() {
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	private static String head(String path, String lines) {
		return "POST " + path + " HTTP/1.1\r\nHost: host\r\n" + lines;
	}

	/**
	 * Repeats header lines up to a size that a head may have.
	 */
	private static String fill(String start, String lines) {
		String end = "Content-Length: 10\r\n\r\n";
		int count = (MAXIMUM_HEAD_BYTES - 200 - start.length() - end.length()) / lines.length();
		return start + lines.repeat(count) + end;
	}

	static Script manyShortHeaderLines(String path) {
		return Script.of(bytes(fill(head(path, ""), "a:\r\n")));
	}

	static Script oddHeaderLines(String path, String lines) {
		return Script.of(bytes(fill(head(path, "x: y\r\n"), lines)));
	}

	static Script oversizedHeaderValue(String path) {
		return Script.of(bytes(head(path, "a: " + "x".repeat(OVERSIZED_HEAD_BYTES) + "\r\n\r\n")));
	}

	static Script oversizedPath() {
		return Script.of(bytes("GET /" + "x".repeat(OVERSIZED_HEAD_BYTES) + " HTTP/1.1\r\nHost: host\r\n\r\n"));
	}

	static Script oversizedHeadOfShortLines(String path) {
		return Script.of(bytes(head(path, "a:\r\n".repeat(OVERSIZED_HEAD_BYTES / 4) + "\r\n")));
	}

	static Script endlessHeaderLines(String path) {
		return endless(head(path, ""), "a:\r\n".repeat(PIECE_BYTES / 4));
	}

	static Script endlessHeaderValue(String path) {
		return endless(head(path, "a: "), "x".repeat(PIECE_BYTES));
	}

	static Script endlessPath() {
		return endless("GET /", "x".repeat(PIECE_BYTES));
	}

	private static Script endless(String start, String next) {
		byte[] piece = bytes(next);
		Iterator<byte[]> opening = Stream
			.concat(Stream.of(bytes(start)), Collections.nCopies(ENDLESS_OPENING_BYTES / PIECE_BYTES, piece).stream())
			.iterator();
		return new Script(opening, Stream.generate(() -> piece).iterator());
	}

	/**
	 * A head of legal size that does not end: its last line is sent slowly.
	 */
	static Script slowHead(String path) {
		String head = fill(head(path, ""), "a:\r\n");
		return new Script(List.of(bytes(head.substring(0, head.length() - 4))).iterator(),
				Stream.generate(() -> bytes("0")).iterator());
	}

	static Script emptyLines() {
		byte[] lines = bytes("\r\n".repeat(PIECE_BYTES / 2));
		return new Script(Collections.nCopies(ENDLESS_OPENING_BYTES / PIECE_BYTES, lines).iterator(),
				Stream.generate(() -> lines).iterator());
	}

	static Script nothing() {
		return Script.of();
	}

	/**
	 * A job in a body of a given size, most of which is blanks.
	 */
	static String blankBody(int size) {
		String job = "{\"spec\":\"text\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16,\"estimate_ms\":100}]}";
		return job + " ".repeat(size - job.length());
	}

	/**
	 * A body of the largest size that consists of very many steps.
	 */
	static String manyStepsBody() {
		String start = "{\"spec\":\"text\",\"steps\":[{}";
		String end = "]}";
		String steps = ",{}".repeat((MAXIMUM_BODY_BYTES - start.length() - end.length()) / 3);
		return start + steps + end;
	}

	static Script wholeBody(String path, String body, int repetitions) {
		List<byte[]> requests = new ArrayList<>(
				Collections.nCopies(repetitions, OrdinaryCaller.request("POST", path, body)));
		return new Script(requests.iterator(), Collections.emptyIterator());
	}

	static Script bodyLessOneByte(String path, int size) {
		byte[] request = OrdinaryCaller.request("POST", path, blankBody(size));
		return Script.of(Arrays.copyOf(request, request.length - 1));
	}

	/**
	 * A body in small pieces. One in eight connections sends the last piece, too.
	 */
	static Script pieces(String path, int number, boolean chunked) {
		String body = blankBody(MAXIMUM_BODY_BYTES);
		List<byte[]> parts = new ArrayList<>();
		parts.add(bytes(head(path, chunked ? "Transfer-Encoding: chunked\r\n\r\n"
				: "Content-Length: " + MAXIMUM_BODY_BYTES + "\r\n\r\n")));
		int pieceBytes = chunked ? PIECE_BYTES / 10 : PIECE_BYTES;
		for (int from = 0; from < body.length(); from += pieceBytes) {
			String piece = body.substring(from, Math.min(body.length(), from + pieceBytes));
			parts.add(bytes(chunked ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n" : piece));
		}
		if (chunked) {
			parts.add(bytes("0\r\n\r\n"));
		}
		if (number % 8 != 0) {
			parts.remove(parts.size() - 1);
		}
		return new Script(parts.iterator(), Collections.emptyIterator());
	}

	/**
	 * Requests whose answers the caller never reads.
	 */
	static Script unreadAnswers(String path, int count) {
		byte[] request = OrdinaryCaller.get(path);
		return new Script(Collections.nCopies(count, request).iterator(), Collections.emptyIterator());
	}

	/**
	 * A frame that lacks its last byte.
	 */
	static Script unfinishedFrame(int frameBytes) {
		byte[] frame = new byte[4 + frameBytes - 1];
		java.nio.ByteBuffer.wrap(frame).putInt(frameBytes);
		return Script.of(frame);
	}

}
