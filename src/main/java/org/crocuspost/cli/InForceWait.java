package org.crocuspost.cli;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Polls the status of a note until it is in force everywhere and prints the progress. A
 * note is in force once every process acts on its version of the configuration or a newer
 * one.
 */
final class InForceWait {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	private final OperatorSession session;

	private final String id;

	private final long maximumPolls;

	private String lastProgress = "";

	InForceWait(OperatorSession session, String id, int seconds) {
		this.session = session;
		this.id = id;
		this.maximumPolls = Math.max(1, Duration.ofSeconds(seconds).dividedBy(POLL_INTERVAL));
	}

	ExitCode await() {
		CallResult result = fetchStatus();
		for (long poll = 0; poll < this.maximumPolls && shouldWait(result); poll++) {
			showProgress(result);
			if (!this.session.pollDelay().pause(POLL_INTERVAL)) {
				break;
			}
			result = fetchStatus();
		}
		ExitCode code = this.session.show(result);
		return (code == ExitCode.OK && !inForce(result)) ? ExitCode.NOT_YET_IN_FORCE : code;
	}

	private CallResult fetchStatus() {
		return this.session.client().get(NoteCommand.path(this.id));
	}

	private static boolean shouldWait(CallResult result) {
		if (result instanceof CallResult.Problem problem) {
			return ExitCode.ofError(problem.code()) == ExitCode.UNAVAILABLE;
		}
		return !inForce(result);
	}

	private static boolean inForce(CallResult result) {
		return result instanceof CallResult.Success success && success.body().path("state").asText().equals("in-force");
	}

	private void showProgress(CallResult result) {
		String progress = progress(result);
		if (!progress.equals(this.lastProgress)) {
			this.session.printMessage(progress);
			this.lastProgress = progress;
		}
	}

	private static String progress(CallResult result) {
		if (result instanceof CallResult.Success success) {
			StringBuilder names = new StringBuilder();
			for (JsonNode process : success.body().path("awaited")) {
				names.append(' ')
					.append(process.path("role").asText())
					.append('/')
					.append(process.path("name").asText());
			}
			return success.body().path("state").asText() + ", awaiting"
					+ ((names.length() == 0) ? " confirmations" : names);
		}
		if (result instanceof CallResult.Problem problem) {
			return "waiting: " + problem.body().path("detail").asText();
		}
		return "waiting: " + ((CallResult.NoAnswer) result).reason();
	}

}
