package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.host.WorkerAnnouncement;
import org.crocuspost.json.JsonTrees;

/**
 * Decodes the heartbeats with which workers announce themselves. A heartbeat may be sent
 * by another program and be malformed; it is then ignored.
 */
final class AnnouncementDecoder {

	private static final String DRAINING = "draining";

	private static final String READY = "ready";

	private AnnouncementDecoder() {
	}

	static Optional<WorkerAnnouncement> decode(String id, byte[] body) {
		try {
			JsonNode node = JsonTrees.read(body);
			String state = node.path("state").asText();
			JsonNode capacity = node.path("capacity");
			if (!node.path("service").isTextual() || !(state.equals(READY) || state.equals(DRAINING))
					|| !capacity.path("cpu").isNumber() || !capacity.path("mem_mb").isNumber()
					|| !node.path("zone").isTextual() || !node.path("sequence").isNumber()) {
				return Optional.empty();
			}
			List<String> labels = new ArrayList<>();
			node.path("labels").forEach((label) -> labels.add(label.asText()));
			return Optional.of(new WorkerAnnouncement(id, node.path("born").asLong(), node.path("service").asText(),
					node.path("zone").asText(), state.equals(DRAINING), node.path("remaining_ms").asLong(),
					node.path("cold_remaining_ms").asLong(), capacity.path("cpu").asInt(),
					capacity.path("mem_mb").asInt(), capacity.path("gpus").asInt(), labels,
					node.path("sequence").asLong()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
