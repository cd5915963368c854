package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.json.JsonNumbers;
import org.crocuspost.json.JsonTrees;

/**
 * Decodes the operator's configuration.
 */
final class ConfigurationDecoder {

	private static final int DEFAULT_BODY_BYTES = 262_144;

	private ConfigurationDecoder() {
	}

	static Optional<QueueConfiguration> decode(String text) {
		try {
			JsonNode node = JsonTrees.read(text.getBytes(StandardCharsets.UTF_8));
			if (!node.path("version").isNumber() || !node.path("routes").isArray()) {
				return Optional.empty();
			}
			List<Queue> queues = new ArrayList<>();
			// The operator's configuration calls a queue a route, since a request selects
			// it by host and path.
			for (JsonNode route : node.path("routes")) {
				queues.add(queue(route));
			}
			List<String> capacityEnforcingServices = new ArrayList<>();
			for (JsonNode service : node.path("services")) {
				if (service.path("enforces_capacity").asBoolean()) {
					capacityEnforcingServices.add(service.path("name").asText());
				}
			}
			return Optional
				.of(new QueueConfiguration(JsonNumbers.longValue(node, "version", 0), queues, capacityEnforcingServices,
						JsonNumbers.intValue(node.path("limits"), "max_body_bytes", DEFAULT_BODY_BYTES)));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static Queue queue(JsonNode route) {
		return new Queue(route.path("name").asText(), route.path("host").asText(), route.path("path_prefix").asText(),
				route.path("service").asText(), JsonNumbers.intValue(route, "priority", 0),
				Math.max(1, JsonNumbers.intValue(route, "attempts", 1)), route.path("stretch").asDouble(2),
				Duration.ofMillis(JsonNumbers.longValue(route, "target_latency_ms", 0)), route.has("advice"));
	}

}
