package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.json.JsonTrees;

/**
 * Decodes the request bodies with which callers submit jobs.
 */
final class JobDecoder {

	private static final int MAXIMUM_SPECIFICATION_BYTES = 4_000;

	private JobDecoder() {
	}

	static Either<String, JobSpecification> decode(byte[] body) {
		try {
			JsonNode node = JsonTrees.read(body);
			String text = node.path("spec").asText();
			if (text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length > MAXIMUM_SPECIFICATION_BYTES) {
				return Either.left("spec is longer than " + MAXIMUM_SPECIFICATION_BYTES + " bytes");
			}
			List<StepSpecification> steps = new ArrayList<>();
			for (JsonNode step : node.path("steps")) {
				steps.add(step(step));
			}
			int occurrences = Math.max(1, node.path("repeat_count").asInt());
			boolean scheduled = node.path("repeat_count").asInt() > 0;
			return Either.right(new JobSpecification(text, steps, occurrences, scheduled,
					node.path("start_at_ms").asLong(), node.path("interval_ms").asLong()));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Either.left(String.valueOf(ex.getMessage()));
		}
	}

	private static StepSpecification step(JsonNode node) {
		List<Integer> predecessors = new ArrayList<>();
		node.path("after").forEach((number) -> predecessors.add(number.asInt()));
		// "cpu" and "mem_mb" are the resources of one task, not of the whole step.
		return new StepSpecification(node.path("count").asInt(1), node.path("cpu").asInt(), node.path("mem_mb").asInt(),
				node.path("gpus").asInt(), Duration.ofMillis(node.path("estimate_ms").asLong()), predecessors,
				node.path("checkpointing").asBoolean(), node.path("gang").asBoolean(),
				node.path("same_rack").asBoolean(), node.path("constraints").asText(""),
				node.path("affinity").asText(""), node.path("anti_affinity").asInt(),
				node.path("speculative").asBoolean(), node.path("long_running").asBoolean(),
				node.path("image").asText(""), Duration.ofMillis(node.path("target_ms").asLong()),
				node.path("fills").asBoolean(), node.has("may_miss") ? node.path("may_miss").asInt() : -1);
	}

}
