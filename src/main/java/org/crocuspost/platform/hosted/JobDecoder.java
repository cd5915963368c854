package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.json.JsonNumbers;
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
			int repetitions = JsonNumbers.intValue(node, "repeat_count", 0);
			return Either.right(new JobSpecification(text, steps, Math.max(1, repetitions), repetitions > 0,
					JsonNumbers.longValue(node, "start_at_ms", 0), JsonNumbers.longValue(node, "interval_ms", 0)));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Either.left(String.valueOf(ex.getMessage()));
		}
	}

	private static StepSpecification step(JsonNode node) {
		List<Integer> predecessors = new ArrayList<>();
		node.path("after").forEach((number) -> predecessors.add(JsonNumbers.element(number, "after")));
		// "cpu" and "mem_mb" are the resources of one task, not of the whole step.
		return new StepSpecification(JsonNumbers.intValue(node, "count", 1), JsonNumbers.intValue(node, "cpu", 0),
				JsonNumbers.intValue(node, "mem_mb", 0), JsonNumbers.intValue(node, "gpus", 0),
				Duration.ofMillis(JsonNumbers.longValue(node, "estimate_ms", 0)), predecessors,
				node.path("checkpointing").asBoolean(), node.path("gang").asBoolean(),
				node.path("same_rack").asBoolean(), node.path("constraints").asText(""),
				node.path("affinity").asText(""), JsonNumbers.intValue(node, "anti_affinity", 0),
				node.path("speculative").asBoolean(), node.path("long_running").asBoolean(),
				node.path("image").asText(""), Duration.ofMillis(JsonNumbers.longValue(node, "target_ms", 0)),
				node.path("fills").asBoolean(), JsonNumbers.intValue(node, "may_miss", -1));
	}

}
