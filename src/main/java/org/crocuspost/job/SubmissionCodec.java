package org.crocuspost.job;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.crocuspost.json.JsonNumbers;
import org.crocuspost.json.JsonTrees;

/**
 * Encodes accepted jobs as JSON documents for the store, and decodes them.
 */
public final class SubmissionCodec {

	private SubmissionCodec() {
	}

	/**
	 * Encodes an accepted job.
	 * @param submission the job
	 * @return the JSON document
	 */
	public static String write(JobSubmission submission) {
		ObjectNode document = JsonTrees.object();
		JobSpecification specification = submission.specification();
		document.put("queue", submission.queue()).put("accepted", submission.acceptedMillis());
		document.put("text", specification.text()).put("occurrences", specification.occurrences());
		if (specification.scheduled()) {
			document.put("firstDue", specification.firstDueMillis()).put("interval", specification.intervalMillis());
		}
		ArrayNode steps = document.putArray("steps");
		specification.steps().forEach((step) -> write(steps.addObject(), step));
		return new String(JsonTrees.bytes(document), StandardCharsets.UTF_8);
	}

	private static void write(ObjectNode node, StepSpecification step) {
		node.put("tasks", step.taskCount()).put("milliCores", step.milliCores()).put("memory", step.memoryMegabytes());
		node.put("accelerators", step.accelerators()).put("estimate", step.estimate().toMillis());
		ArrayNode predecessors = node.putArray("after");
		step.predecessors().forEach(predecessors::add);
		node.put("checkpointing", step.checkpointing()).put("gang", step.gang()).put("sameRack", step.sameRack());
		node.put("label", step.requiredLabel()).put("rack", step.dataRack()).put("perWorker", step.perWorkerLimit());
		node.put("speculative", step.speculative()).put("lasting", step.lasting()).put("image", step.image());
		node.put("tailTarget", step.tailTarget().toMillis()).put("filler", step.filler());
		node.put("unavailable", step.unavailableLimit());
	}

	/**
	 * Decodes an accepted job.
	 * @param id the identity of the job
	 * @param document the JSON document
	 * @return the job
	 * @throws IOException if the document is malformed
	 */
	public static JobSubmission read(String id, String document) throws IOException {
		JsonNode node = JsonTrees.read(document.getBytes(StandardCharsets.UTF_8));
		try {
			List<StepSpecification> steps = new ArrayList<>();
			for (JsonNode step : node.path("steps")) {
				steps.add(readStep(step));
			}
			return new JobSubmission(id, node.path("queue").asText(), JsonNumbers.longValue(node, "accepted", 0),
					new JobSpecification(node.path("text").asText(), steps,
							JsonNumbers.intValue(node, "occurrences", 1), node.has("firstDue"),
							JsonNumbers.longValue(node, "firstDue", 0), JsonNumbers.longValue(node, "interval", 0)));
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("the stored job " + id + " is malformed: " + ex.getMessage(), ex);
		}
	}

	private static StepSpecification readStep(JsonNode node) {
		List<Integer> predecessors = new ArrayList<>();
		node.path("after").forEach((number) -> predecessors.add(JsonNumbers.element(number, "after")));
		return new StepSpecification(number(node, "tasks"), number(node, "milliCores"), number(node, "memory"),
				number(node, "accelerators"), Duration.ofMillis(JsonNumbers.longValue(node, "estimate", 0)),
				predecessors, node.path("checkpointing").asBoolean(), node.path("gang").asBoolean(),
				node.path("sameRack").asBoolean(), node.path("label").asText(), node.path("rack").asText(),
				number(node, "perWorker"), node.path("speculative").asBoolean(), node.path("lasting").asBoolean(),
				node.path("image").asText(), Duration.ofMillis(JsonNumbers.longValue(node, "tailTarget", 0)),
				node.path("filler").asBoolean(), number(node, "unavailable"));
	}

	private static int number(JsonNode node, String field) {
		return JsonNumbers.intValue(node, field, 0);
	}

}
