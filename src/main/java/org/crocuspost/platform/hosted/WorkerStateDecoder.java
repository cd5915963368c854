package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.host.HostEvent;
import org.crocuspost.host.WorkerState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.json.JsonNumbers;
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

	/**
	 * Maximum of the clock, the start time and the numbers of ends. All later ends have
	 * higher numbers.
	 */
	private static final long MAXIMUM_NUMBER = 1L << 53;

	/**
	 * Length at which a malformed row is cut off in the log.
	 */
	private static final int MAXIMUM_LOGGED_CHARACTERS = 200;

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
			body.path("running").forEach((row) -> addOrIgnore(running, row, WorkerStateDecoder::running));
			List<EndedTask> ended = new ArrayList<>();
			body.path("finished").forEach((row) -> addOrIgnore(ended, row, WorkerStateDecoder::ended));
			return Optional.of(new WorkerState(JsonNumbers.longValue(body, "clock_ms", 0, 0, MAXIMUM_NUMBER),
					JsonNumbers.longValue(body, "born", 0, 0, MAXIMUM_NUMBER), running, ended));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Decodes a row on its own, so that a malformed one does not hide the others.
	 * @param list receives the decoded row
	 * @param row the row
	 * @param decoder decodes it
	 * @param <T> the type of the rows
	 */
	private static <T> void addOrIgnore(List<T> list, JsonNode row, Function<JsonNode, T> decoder) {
		try {
			list.add(decoder.apply(row));
		}
		catch (IllegalArgumentException ex) {
			String text = row.toString();
			EventLog.warn(HostEvent.RUN_IGNORED,
					Field.of("row", text.substring(0, Math.min(text.length(), MAXIMUM_LOGGED_CHARACTERS))),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	private static TaskKey key(JsonNode name) {
		return TaskKey.parse(name.asText())
			.filter((key) -> key.occurrence() >= 0 && key.step() >= 0 && key.index() >= 0)
			.orElseThrow(() -> new IllegalArgumentException("the row does not name a valid task"));
	}

	private static long number(JsonNode value, String name, long maximum) {
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 1 || value.asLong() > maximum) {
			throw new IllegalArgumentException("the number of the " + name + " is malformed");
		}
		return value.asLong();
	}

	private static RunningTask running(JsonNode row) {
		// Fields by position: task, run, checkpoint, progress in percent, load.
		return RunningTask.newBuilder()
			.setTask(TaskNames.name(key(row.path(0))))
			.setRun((int) number(row.path(1), "run", Integer.MAX_VALUE))
			.setCheckpoint(row.path(2).asText())
			.setProgress(row.path(3).asInt())
			.setLoad(row.path(RUNNING_LOAD_FIELD).asInt())
			.build();
	}

	private static EndedTask ended(JsonNode row) {
		// Fields by position: number, task, run, kind of end, checkpoint.
		if (!row.path(3).isTextual()) {
			throw new IllegalArgumentException("the kind of the end is missing");
		}
		return EndedTask.newBuilder()
			.setNumber(number(row.path(0), "end", MAXIMUM_NUMBER))
			.setTask(TaskNames.name(key(row.path(1))))
			.setRun((int) number(row.path(2), "run", Integer.MAX_VALUE))
			.setKind(row.path(3).asText())
			.setCheckpoint(row.path(ENDED_CHECKPOINT_FIELD).asText())
			.build();
	}

}
