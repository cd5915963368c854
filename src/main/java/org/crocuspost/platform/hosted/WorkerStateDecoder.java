package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.host.HostEvent;
import org.crocuspost.host.WorkerState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.json.JsonTrees;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.RunningTask;

/**
 * Decodes the lists of running and ended tasks that a worker reports. A task that is on
 * neither list counts as not running, so an answer that lacks a list is rejected instead
 * of being read as an empty list.
 */
final class WorkerStateDecoder {

	private static final int ENDED_CHECKPOINT_FIELD = 4;

	private static final int RUNNING_LOAD_FIELD = 4;

	private WorkerStateDecoder() {
	}

	static Optional<WorkerState> decode(byte[] answer) {
		try {
			JsonNode body = JsonTrees.read(answer);
			if (!body.path("clock_ms").isNumber() || !body.path("running").isArray()
					|| !body.path("finished").isArray()) {
				return Optional.empty();
			}
			List<RunningTask> running = new ArrayList<>();
			for (JsonNode row : body.path("running")) {
				key(row, row.path(0)).ifPresent((key) -> running.add(running(key, row)));
			}
			List<EndedTask> ended = new ArrayList<>();
			for (JsonNode row : body.path("finished")) {
				key(row, row.path(1)).ifPresent((key) -> ended.add(ended(key, row)));
			}
			return Optional
				.of(new WorkerState(body.path("clock_ms").asLong(), body.path("born").asLong(), running, ended));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static Optional<TaskKey> key(JsonNode row, JsonNode name) {
		Optional<TaskKey> key = TaskKey.parse(name.asText());
		if (key.isEmpty()) {
			EventLog.warn(HostEvent.RUN_IGNORED, Field.of("row", row),
					Field.of("reason", "the row does not name a valid task"));
		}
		return key;
	}

	private static RunningTask running(TaskKey key, JsonNode row) {
		// Fields by position: task, run, checkpoint, progress in percent, load.
		return RunningTask.newBuilder()
			.setTask(TaskNames.name(key))
			.setRun(row.path(1).asInt())
			.setCheckpoint(row.path(2).asText())
			.setProgress(row.path(3).asInt())
			.setLoad(row.path(RUNNING_LOAD_FIELD).asInt())
			.build();
	}

	private static EndedTask ended(TaskKey key, JsonNode row) {
		// Fields by position: number, task, run, kind of end, checkpoint.
		return EndedTask.newBuilder()
			.setNumber(row.path(0).asLong())
			.setTask(TaskNames.name(key))
			.setRun(row.path(2).asInt())
			.setKind(row.path(3).asText())
			.setCheckpoint(row.path(ENDED_CHECKPOINT_FIELD).asText())
			.build();
	}

}
