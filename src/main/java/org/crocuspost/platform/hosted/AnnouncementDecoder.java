package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.crocuspost.host.WorkerAnnouncement;
import org.crocuspost.json.JsonNumbers;
import org.crocuspost.json.JsonTrees;

/**
 * Decodes the heartbeats with which workers announce themselves. A heartbeat may be sent
 * by another program and be malformed; it is then ignored.
 */
final class AnnouncementDecoder {

	private static final String DRAINING = "draining";

	private static final String READY = "ready";

	/**
	 * Maximum capacity of a worker. A leader adds up the capacities.
	 */
	private static final int MAXIMUM_CAPACITY = 1_000_000_000;

	/**
	 * Maximum of other numbers, the largest whole number that every JSON writer can
	 * represent. With a larger sequence number no later heartbeat would be newer.
	 */
	private static final long MAXIMUM_NUMBER = 1L << 53;

	private static final int MAXIMUM_PORT = 65_535;

	private AnnouncementDecoder() {
	}

	/**
	 * Decodes a heartbeat.
	 * @param id the identity of the worker
	 * @param body the body of the heartbeat
	 * @return the announcement, or why the heartbeat names no worker to use
	 */
	static Either<String, WorkerAnnouncement> decode(String id, byte[] body) {
		try {
			return Either.right(announcement(id, JsonTrees.read(body)));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Either.left(String.valueOf(ex.getMessage()));
		}
	}

	private static WorkerAnnouncement announcement(String id, JsonNode node) {
		String state = requiredText(node, "state");
		if (!state.equals(READY) && !state.equals(DRAINING)) {
			throw new IllegalArgumentException("the state is unknown");
		}
		JsonNode capacity = node.path("capacity");
		requireValidUnusedFields(node);
		return new WorkerAnnouncement(id, born(node), requiredText(node, "service"), requiredText(node, "zone"),
				state.equals(DRAINING), number(node, "remaining_ms"), number(node, "cold_remaining_ms"),
				capacity(requireNumber(capacity, "cpu"), "cpu"), capacity(requireNumber(capacity, "mem_mb"), "mem_mb"),
				capacity(capacity, "gpus"), labels(node.path("labels")),
				number(requireNumber(node, "sequence"), "sequence"));
	}

	/**
	 * Checks the fields that are not used. If one is malformed, the heartbeat is not by a
	 * worker, and the others must not be used either.
	 * @param node the heartbeat
	 * @throws IllegalArgumentException if one is malformed
	 */
	private static void requireValidUnusedFields(JsonNode node) {
		number(node, "slots");
		if (isPresent(node.path("version")) && !node.path("version").isTextual()) {
			throw new IllegalArgumentException("version is not a text");
		}
		if (isPresent(node.path("address"))) {
			requireAddress(requiredText(node, "address"));
		}
	}

	private static void requireAddress(String address) {
		int colon = address.lastIndexOf(':');
		// NumberFormatException is an IllegalArgumentException.
		int port = (colon > 0) ? Integer.parseInt(address.substring(colon + 1)) : 0;
		if (port < 1 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("address has no valid port");
		}
	}

	private static boolean isPresent(JsonNode value) {
		return !value.isMissingNode() && !value.isNull();
	}

	private static String requiredText(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isTextual() || value.asText().isEmpty()) {
			throw new IllegalArgumentException(field + " is missing or not a text");
		}
		return value.asText();
	}

	private static JsonNode requireNumber(JsonNode node, String field) {
		if (!node.path(field).isNumber()) {
			throw new IllegalArgumentException(field + " is missing or not a number");
		}
		return node;
	}

	private static int capacity(JsonNode capacity, String field) {
		return (int) JsonNumbers.longValue(capacity, field, 0, 0, MAXIMUM_CAPACITY);
	}

	private static long number(JsonNode node, String field) {
		return JsonNumbers.longValue(node, field, 0, 0, MAXIMUM_NUMBER);
	}

	private static long born(JsonNode node) {
		long born = number(node, "born");
		if (node.path("born").doubleValue() != born) {
			throw new IllegalArgumentException("born is not a whole number");
		}
		return born;
	}

	private static List<String> labels(JsonNode labels) {
		if (!isPresent(labels)) {
			return List.of();
		}
		List<String> texts = new ArrayList<>();
		labels.forEach((label) -> texts.add(label.isTextual() ? label.asText() : ""));
		if (!labels.isArray() || texts.contains("")) {
			throw new IllegalArgumentException("labels is not a list of texts");
		}
		return texts;
	}

}
